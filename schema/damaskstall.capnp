@0xd7a3f5b2c8e94610;
# Messages between the product's processes, and the settings of its programs.

using import "annotations.capnp".unit;
using import "annotations.capnp".help;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".program;

# ---------------------------------------------------------------- messages

struct ConfigRow {
  # One configuration row as the table service stores it.
  key @0 :Text;
  revision @1 :Int64;
  value @2 :Data;      # JSON; empty when the row was deleted
}

struct ConfigPull {
  # Requests the configuration rows changed after a revision.
  afterRevision @0 :Int64;
}

struct ConfigDelta {
  # The rows changed after the requested revision, and the sender's freshness.
  revision @0 :Int64;
  confirmedAgeS @1 :Float64;
  # Seconds since the table last confirmed this revision to the sender;
  # negative if it never did.
  rows @2 :List(ConfigRow);
  afterRevision @3 :Int64;
  # The revision after which the rows changed.
  snapshot @4 :Bool;
  # Whether the rows are a complete snapshot: a row that is missing from it
  # was deleted.
  more @5 :Bool;
  # Whether another frame of this answer follows. The rows must not be applied
  # before the last frame has arrived.
}

struct Heartbeat {
  # Reports that the sender is alive, and the configuration it uses.
  instance @0 :Text;
  failureDomain @1 :Text;
  program @2 :Text;
  revision @3 :Int64;
  confirmedAgeS @4 :Float64;
  leaving @5 :Bool;
  configRevision @6 :Int64;
  # The revision of the newest row known to the sender, which may be newer
  # than the confirmed revision.
}

struct HeartbeatAck {
  # Answers a heartbeat with the receiver's own heartbeat.
  heartbeat @0 :Heartbeat;
}

struct TakeOut {
  # Reports a take-out that the table has not confirmed yet to a peer.
  failureDomain @0 :Text;
  out @1 :Bool;
  issuedAgeS @2 :Float64;
  issuedId @3 :Text;
  baseRevision @4 :Int64;
  # The revision of the failure domain's row that the issuer knew.
  sequence @5 :Int64;
  # Higher than that of each take-out or restore that its issuer knew of.
  issuedUnixS @6 :Float64;
  # Unix time of issue on the issuer's clock; 0 if not given.
}

struct TakeOutAck {
  issuedId @0 :Text;
}

struct TableCall {
  # Requests that a peer make one call of the table service.
  operation @0 :Text;
  arguments @1 :Data;
  # JSON; its form depends on the operation
}

struct TableReply {
  # The outcome of a relayed call and its result.
  outcome @0 :Text;
  result @1 :Data;     # JSON; for an error its message
}

struct Frame {
  # One message between two processes, sent with a length prefix.
  requestId @0 :UInt64;
  union {
    configPull @1 :ConfigPull;
    configDelta @2 :ConfigDelta;
    heartbeat @3 :Heartbeat;
    heartbeatAck @4 :HeartbeatAck;
    takeOut @5 :TakeOut;
    takeOutAck @6 :TakeOutAck;
    tableCall @7 :TableCall;
    tableReply @8 :TableReply;
  }
}

# ---------------------------------------------------------------- settings

struct EntrySettings $program("damaskstall-entry") {
  instance @0 :Text $help("name of this process, unique among all instances");
  failureDomain @1 :Text $help("failure domain that this process runs in");
  listen @2 :Text = "127.0.0.1:0" $unit("host:port")
    $help("listening address for callers' requests");
  operatorListen @3 :Text = "127.0.0.1:0" $unit("host:port")
    $help("listening address for the resource interface, metrics and dumps");
  peerListen @4 :Text = "127.0.0.1:0" $unit("host:port")
    $help("listening address for frames from peers");
  platform @5 :Text $unit("host:port") $help("address of the platform's services");
  peers @6 :Text $unit("host:port,...") $help("addresses of the peers to exchange frames with");
  configPollS @7 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two reads of the configuration from the table");
  peerPollS @8 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two exchanges with one peer");
  platformTimeoutS @9 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time limit of one call to the platform");
  drainTimeoutS @10 :Float64 = 20.0 $unit("s") $minimum(0) $maximum(3600)
    $help("time limit for requests in flight to finish on a graceful stop");
  bodyLimitBytes @11 :Int64 = 1048576 $unit("bytes") $minimum(1024) $maximum(1073741824)
    $help("largest request body accepted from an operator");
  requestBodyLimitBytes @12 :Int64 = 8388608 $unit("bytes") $minimum(1024) $maximum(1073741824)
    $help("largest request body accepted from a caller");
  connectionLimit @13 :Int64 = 512 $unit("connections") $minimum(1) $maximum(100000)
    $help("largest number of open client connections on each address");
  queueLimit @14 :Int64 = 64 $unit("requests") $minimum(0) $maximum(100000)
    $help("largest number of one team's requests that wait for a slot");
  defaultDeadlineS @15 :Float64 = 30.0 $unit("s") $minimum(0.05) $maximum(86400)
    $help("time limit of a request that specifies none");
  readTimeoutS @16 :Float64 = 10.0 $unit("s") $minimum(0.1) $maximum(600)
    $help("time limit for receiving a client's request");
  logJson @17 :Bool = false $help("write log events as JSON lines");
  logLevel @18 :Text = "INFO" $help("lowest level of the log events that are written");
  retryBudgetRatio @19 :Float64 = 0.1 $unit("retries per success") $minimum(0) $maximum(1)
    $help("retries allowed for each successful request");
  serverConnectionLimit @20 :Int64 = 64 $unit("connections") $minimum(1) $maximum(10000)
    $help("most connections from this process to one backend server");
  healthPollS @21 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two health checks of a backend server");
  instanceListPollS @22 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two reads of the platform's instance list");
  cellWorkerLimit @23 :Int64 = 128 $unit("workers") $minimum(1) $maximum(4096)
    $help("largest number of workers in one cell, as set for the schedulers");
  drainNoticeS @24 :Float64 = 3.0 $unit("s") $minimum(0) $maximum(600)
    $help("time that the load balancer needs to see that readiness is off");
}

struct SchedulerSettings $program("damaskstall-scheduler") {
  instance @0 :Text $help("name of this process, unique among all instances");
  failureDomain @1 :Text $help("failure domain that this process runs in");
  operatorListen @2 :Text = "127.0.0.1:0" $unit("host:port")
    $help("listening address for metrics and dumps");
  peerListen @3 :Text = "127.0.0.1:0" $unit("host:port")
    $help("listening address for frames from peers");
  platform @4 :Text $unit("host:port") $help("address of the platform's services");
  peers @5 :Text $unit("host:port,...") $help("addresses of the peers to exchange frames with");
  configPollS @6 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two reads of the configuration from the table");
  peerPollS @7 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two exchanges with one peer");
  platformTimeoutS @8 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time limit of one call to the platform");
  cellLeaseTtlS @9 :Float64 = 5.0 $unit("s") $minimum(0.5) $maximum(600)
    $help("time after which a cell lease expires unless renewed");
  cellLeaseRenewS @10 :Float64 = 1.5 $unit("s") $minimum(0.1) $maximum(200)
    $help("time between two renewals of a cell lease");
  taskLeaseTtlS @11 :Float64 = 60.0 $unit("s") $minimum(1) $maximum(3600)
    $help("time that a running task continues without scheduler contact");
  workerExchangeS @12 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between exchanges with a worker that has nothing to report");
  workerTimeoutS @13 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time limit of one exchange with a worker");
  startPermitTtlS @14 :Float64 = 3.0 $unit("s") $minimum(0.2) $maximum(60)
    $help("largest age of the confirmed configuration for starting a task");
  prepareTtlS @15 :Float64 = 10.0 $unit("s") $minimum(0.5) $maximum(600)
    $help("time after which a worker frees prepared but unused accelerators");
  reclaimGraceS @16 :Float64 = 3.0 $unit("s") $minimum(0) $maximum(600)
    $help("time that a reclaimed task has to write its checkpoint");
  cellWorkerLimit @17 :Int64 = 128 $unit("workers") $minimum(1) $maximum(4096)
    $help("largest number of workers in one cell");
  claimStaggerS @18 :Float64 = 0.5 $unit("s") $minimum(0) $maximum(60)
    $help("delay before claiming a job for each cell preferred to this one");
  decisionIntervalS @19 :Float64 = 0.25 $unit("s") $minimum(0.01) $maximum(60)
    $help("time to the next placement decision if no event triggers it");
  drainTimeoutS @20 :Float64 = 10.0 $unit("s") $minimum(0) $maximum(3600)
    $help("time limit for started steps to finish on a graceful stop");
  logJson @21 :Bool = false $help("write log events as JSON lines");
  logLevel @22 :Text = "INFO" $help("lowest level of the log events that are written");
  quarantineProbationS @23 :Float64 = 600.0 $unit("s") $minimum(1) $maximum(86400)
    $help("time that a failing worker gets no tasks until it is retried");
  outageRenewLimitS @24 :Float64 = 14400.0 $unit("s") $minimum(0) $maximum(604800)
    $help("time that running tasks are kept after the cell lease expires");
}

struct CtlSettings $program("damaskstallctl") {
  server @0 :Text = "127.0.0.1:8081" $unit("host:port")
    $help("address of an entry's operator interface");
  output @1 :Text = "table" $help("output format: table or json");
  timeoutS @2 :Float64 = 10.0 $unit("s") $minimum(0.1) $maximum(3600)
    $help("time limit of one call");
}
