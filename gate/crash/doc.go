// Package crash tracks which requests were in progress on replicas that crashed, and refuses a request under which
// several replicas have. It only sees attempts and replicas; whoever sends calls reports both.
package crash
