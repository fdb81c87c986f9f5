@0xd7a3f5b2c8e94610;
# Messages between the product's processes, and the settings of its programs.

using import "annotations.capnp".unit;
using import "annotations.capnp".help;
using import "annotations.capnp".minimum;
using import "annotations.capnp".maximum;
using import "annotations.capnp".program;

# ---------------------------------------------------------------- messages

struct ConfigRow {
  # One configuration row as the table service holds it.
  key @0 :Text;
  revision @1 :Int64;
  value @2 :Data;      # JSON; empty when the row was deleted
}

struct ConfigPull {
  # Ask a peer for the configuration after a revision.
  afterRevision @0 :Int64;
}

struct ConfigDelta {
  # Rows after the asked revision, and how fresh the sender is.
  revision @0 :Int64;
  confirmedAgeS @1 :Float64;
  # Seconds since the table last confirmed this revision; negative: never.
  rows @2 :List(ConfigRow);
  afterRevision @3 :Int64;
  # The revision the rows come after.
  snapshot @4 :Bool;
  # The rows are all there are: what is missing was deleted.
  more @5 :Bool;
  # Another frame of this answer follows; none counts before the last.
}

struct Heartbeat {
  # Says that the sender is alive, and what it runs by.
  instance @0 :Text;
  failureDomain @1 :Text;
  program @2 :Text;
  revision @3 :Int64;
  confirmedAgeS @4 :Float64;
  leaving @5 :Bool;
  configRevision @6 :Int64;
  # The newest row known, which may be newer than the revision.
}

struct HeartbeatAck {
  # Answers a heartbeat with the receiver's own.
  heartbeat @0 :Heartbeat;
}

struct TakeOut {
  # Tells a peer of a take-out that the table has not confirmed yet.
  failureDomain @0 :Text;
  out @1 :Bool;
  issuedAgeS @2 :Float64;
  issuedId @3 :Text;
  baseRevision @4 :Int64;
  # The row of the failure domain that the issuer knew.
  sequence @5 :Int64;
  # Grows with each take-out or restore that its issuer knew of.
  issuedUnixS @6 :Float64;
  # When it was issued, on the issuer's clock; 0: not told.
}

struct TakeOutAck {
  issuedId @0 :Text;
}

struct TableCall {
  # Ask a peer for one call of the table service.
  operation @0 :Text;
  arguments @1 :Data;
  # JSON, by the operation
}

struct TableReply {
  # What became of the call, and its result.
  outcome @0 :Text;
  result @1 :Data;     # JSON; for an error its message
}

struct Frame {
  # What travels between two processes, length-prefixed.
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
  failureDomain @1 :Text $help("failure domain this process runs in");
  listen @2 :Text = "127.0.0.1:0" $unit("host:port")
    $help("address for callers' requests");
  operatorListen @3 :Text = "127.0.0.1:0" $unit("host:port")
    $help("address for the resource interface, metrics and dumps");
  peerListen @4 :Text = "127.0.0.1:0" $unit("host:port")
    $help("address for frames from peers");
  platform @5 :Text $unit("host:port") $help("address of the platform's services");
  peers @6 :Text $unit("host:port,...") $help("peer addresses to exchange frames with");
  configPollS @7 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two reads of the configuration from the table");
  peerPollS @8 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two exchanges with one peer");
  platformTimeoutS @9 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time limit of one call to the platform");
  drainTimeoutS @10 :Float64 = 20.0 $unit("s") $minimum(0) $maximum(3600)
    $help("time for requests in flight to finish on a graceful stop");
  bodyLimitBytes @11 :Int64 = 1048576 $unit("bytes") $minimum(1024) $maximum(1073741824)
    $help("largest request body taken from an operator");
  requestBodyLimitBytes @12 :Int64 = 8388608 $unit("bytes") $minimum(1024) $maximum(1073741824)
    $help("largest request body taken from a caller");
  connectionLimit @13 :Int64 = 512 $unit("connections") $minimum(1) $maximum(100000)
    $help("client connections held open at once on each address");
  queueLimit @14 :Int64 = 64 $unit("requests") $minimum(0) $maximum(100000)
    $help("requests of one team that wait for a slot at once");
  defaultDeadlineS @15 :Float64 = 30.0 $unit("s") $minimum(0.05) $maximum(86400)
    $help("time limit of a request that names none");
  readTimeoutS @16 :Float64 = 10.0 $unit("s") $minimum(0.1) $maximum(600)
    $help("time limit for a client to send its request");
  logJson @17 :Bool = false $help("write log events as JSON lines");
  logLevel @18 :Text = "INFO" $help("lowest level of log events written");
  retryBudgetRatio @19 :Float64 = 0.1 $unit("retries per success") $minimum(0) $maximum(1)
    $help("retries allowed for each successful request");
  serverConnectionLimit @20 :Int64 = 64 $unit("connections") $minimum(1) $maximum(10000)
    $help("connections to one backend server from this process");
  healthPollS @21 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two health checks of a backend server");
  instanceListPollS @22 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two reads of the platform's instance list");
  cellWorkerLimit @23 :Int64 = 128 $unit("workers") $minimum(1) $maximum(4096)
    $help("largest number of workers in one cell, as the schedulers have it");
  drainNoticeS @24 :Float64 = 3.0 $unit("s") $minimum(0) $maximum(600)
    $help("time that the balancer needs to see that readiness is off");
}

struct SchedulerSettings $program("damaskstall-scheduler") {
  instance @0 :Text $help("name of this process, unique among all instances");
  failureDomain @1 :Text $help("failure domain this process runs in");
  operatorListen @2 :Text = "127.0.0.1:0" $unit("host:port")
    $help("address for metrics and dumps");
  peerListen @3 :Text = "127.0.0.1:0" $unit("host:port")
    $help("address for frames from peers");
  platform @4 :Text $unit("host:port") $help("address of the platform's services");
  peers @5 :Text $unit("host:port,...") $help("peer addresses to exchange frames with");
  configPollS @6 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two reads of the configuration from the table");
  peerPollS @7 :Float64 = 1.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two exchanges with one peer");
  platformTimeoutS @8 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time limit of one call to the platform");
  cellLeaseTtlS @9 :Float64 = 5.0 $unit("s") $minimum(0.5) $maximum(600)
    $help("time a cell lease lasts without renewal");
  cellLeaseRenewS @10 :Float64 = 1.5 $unit("s") $minimum(0.1) $maximum(200)
    $help("time between two renewals of a cell lease");
  taskLeaseTtlS @11 :Float64 = 60.0 $unit("s") $minimum(1) $maximum(3600)
    $help("time a running task goes on without hearing from a scheduler");
  workerExchangeS @12 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time between two exchanges with a worker that has nothing new");
  workerTimeoutS @13 :Float64 = 2.0 $unit("s") $minimum(0.05) $maximum(60)
    $help("time limit of one exchange with a worker");
  startPermitTtlS @14 :Float64 = 3.0 $unit("s") $minimum(0.2) $maximum(60)
    $help("age of the confirmed configuration up to which a task may start");
  prepareTtlS @15 :Float64 = 10.0 $unit("s") $minimum(0.5) $maximum(600)
    $help("time a worker holds accelerators that were prepared and not run");
  reclaimGraceS @16 :Float64 = 3.0 $unit("s") $minimum(0) $maximum(600)
    $help("time a reclaimed task has to write its checkpoint");
  cellWorkerLimit @17 :Int64 = 128 $unit("workers") $minimum(1) $maximum(4096)
    $help("largest number of workers in one cell");
  claimStaggerS @18 :Float64 = 0.5 $unit("s") $minimum(0) $maximum(60)
    $help("wait for each cell preferred before this one to claim a job");
  decisionIntervalS @19 :Float64 = 0.25 $unit("s") $minimum(0.01) $maximum(60)
    $help("time between two placement decisions that nothing wakes earlier");
  drainTimeoutS @20 :Float64 = 10.0 $unit("s") $minimum(0) $maximum(3600)
    $help("time to finish started steps on a graceful stop");
  logJson @21 :Bool = false $help("write log events as JSON lines");
  logLevel @22 :Text = "INFO" $help("lowest level of log events written");
  quarantineProbationS @23 :Float64 = 600.0 $unit("s") $minimum(1) $maximum(86400)
    $help("time a failing worker gets no task before it is tried again");
  outageRenewLimitS @24 :Float64 = 14400.0 $unit("s") $minimum(0) $maximum(604800)
    $help("time past a lapsed cell lease in which running tasks live on");
}

struct CtlSettings $program("damaskstallctl") {
  server @0 :Text = "127.0.0.1:8081" $unit("host:port")
    $help("operator address of an entry");
  output @1 :Text = "table" $help("table or json");
  timeoutS @2 :Float64 = 10.0 $unit("s") $minimum(0.1) $maximum(3600)
    $help("time limit of one call");
}
