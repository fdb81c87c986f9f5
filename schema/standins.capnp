@0xa94c0de5173f82bd;
# Settings of the stand-ins for external systems.

using import "annotations.capnp".unit;
using import "annotations.capnp".help;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".program;

struct PlatformStandinSettings $program("platform-standin") {
  listen @0 :Text = "127.0.0.1:0" $unit("host:port") $help("listening address of the platform's services");
  seed @1 :Int64 = 1 $minimum(0) $maximum(1000000000) $help("random seed of the injected faults");
  listLagS @2 :Float64 = 2.0 $unit("s") $minimum(0) $maximum(600)
    $help("time by which the instance list lags behind the real state");
  operationsPerS @3 :Float64 = 2000.0 $unit("reads/s") $minimum(1) $maximum(1000000)
    $help("reads per second that the table serves; a write costs five reads");
}

struct WorkerStandinSettings $program("worker-standin") {
  listen @0 :Text = "127.0.0.1:0" $unit("host:port") $help("listening address of the worker");
  name @1 :Text $help("name of the worker");
  accelerators @2 :Int64 = 8 $unit("accelerators") $minimum(1) $maximum(64)
    $help("number of the worker's accelerators");
  platform @3 :Text $unit("host:port") $help("address of the object store");
  timeScale @4 :Float64 = 1.0 $unit("ratio") $minimum(0.0001) $maximum(1000)
    $help("factor by which the run time of tasks is multiplied");
  seed @5 :Int64 = 1 $minimum(0) $maximum(1000000000) $help("random seed of the injected faults");
  workers @6 :Int64 = 1 $unit("workers") $minimum(1) $maximum(4096)
    $help("number of workers that run in this process, on consecutive ports");
}

struct BackendStandinSettings $program("backend-standin") {
  listen @0 :Text = "127.0.0.1:0" $unit("host:port") $help("listening address of the server");
  name @1 :Text $help("name of the server");
  slots @2 :Int64 = 8 $unit("requests") $minimum(1) $maximum(1024)
    $help("largest number of requests that run at once");
  connectionLimit @3 :Int64 = 64 $unit("connections") $minimum(1) $maximum(4096)
    $help("largest number of open connections");
  serviceTimeS @4 :Float64 = 0.05 $unit("s") $minimum(0) $maximum(600)
    $help("mean run time of a request that specifies none");
  platform @5 :Text $unit("host:port") $help("address of the instance list");
  seed @6 :Int64 = 1 $minimum(0) $maximum(1000000000) $help("random seed of the injected faults");
  queueLimit @7 :Int64 = 4 $unit("requests") $minimum(0) $maximum(4096)
    $help("largest number of requests in the queue; more are refused");
  failureDomain @8 :Text $help("failure domain of the server in the instance list");
}
