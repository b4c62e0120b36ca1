@0xb1c8e6f02d7a4c93;

# Messages with which nodes coordinate the use of adapters at targets.
# Each number is (epoch of the owner << 32) + an increasing count.

enum Outcome {
  granted @0;
  absent @1;    # not resident, and no load was requested
  busy @2;      # no slot in time; retry here or at another target
  failed @3;    # the load failed
  refused @4;   # the receiving node does not own the target
}

# Requests a grant for a model at a target from the target's owner.
struct Ask {
  target @0 :Text;
  model @1 :Text;
  account @2 :Text;
  load @3 :Bool;       # load the model if it is not resident
  missing @4 :Bool;    # the target reported that it lacks the model
  wait @5 :Float64;    # maximum wait, seconds
}

struct Answer {
  outcome @0 :Outcome;
  number @1 :UInt64;
}

# Sent by the owner: the node must stop using a model.
struct Close {
  target @0 :Text;
  model @1 :Text;
  number @2 :UInt64;
}

struct CloseAnswer {
  busy @0 :Bool;       # a request of the node is still running
}

# Sent by a new owner to collect the grants of every node.
struct HandOver {
  target @0 :Text;
  epoch @1 :UInt64;
}

struct HandOverAnswer {
  grants @0 :List(Grant);
  ordering @1 :Bool;   # a command of this node may still reach the target
}

struct Grant {
  model @0 :Text;
  number @1 :UInt64;
}

# Sent to an owner: the uses since the last report and returned grants.
struct Report {
  uses @0 :List(Use);
}

struct Use {
  target @0 :Text;
  model @1 :Text;
  number @2 :UInt64;
  begun @3 :UInt32;    # requests started since the last report
  running @4 :UInt32;
  released @5 :Bool;
}

struct ReportAnswer {
  targets @0 :List(Status);
}

struct Status {
  name @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  batch @3 :UInt32;
  resident @4 :List(Text);
  spare @5 :Float64;   # demand for what a load would evict, 0 if a slot is free
}

# Sent by an owner to the permit coordinator, for one load or its renewal.
struct PermitAsk {
  target @0 :Text;
  account @1 :Text;
  renew @2 :Bool;
}

struct PermitAnswer {
  granted @0 :Bool;
}

struct PermitRelease {
  target @0 :Text;
}
