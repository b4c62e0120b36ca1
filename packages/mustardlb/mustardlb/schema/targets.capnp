@0xb1c8e6f02d7a4c93;

# Messages by which nodes agree on who uses which adapter at which target.
# A number is (epoch of the owner << 32) + a count that grows.

enum Outcome {
  granted @0;
  absent @1;    # not resident, and no load was asked for
  busy @2;      # no slot or no time; try again or elsewhere
  failed @3;    # the load failed
  refused @4;   # the node asked does not own the target
}

# A node asks the owner of a target whether it may use a model there.
struct Ask {
  target @0 :Text;
  model @1 :Text;
  account @2 :Text;
  load @3 :Bool;       # load it where it is not resident
  missing @4 :Bool;    # the target said that it does not hold it
  wait @5 :Float64;    # seconds
}

struct Answer {
  outcome @0 :Outcome;
  number @1 :UInt64;
}

# The owner asks a node to end its use of a model.
struct Close {
  target @0 :Text;
  model @1 :Text;
  number @2 :UInt64;
}

struct CloseAnswer {
  busy @0 :Bool;       # a request of the node still runs on it
}

# A new owner asks every node what it uses.
struct HandOver {
  target @0 :Text;
  epoch @1 :UInt64;
}

struct HandOverAnswer {
  grants @0 :List(Grant);
  ordering @1 :Bool;   # an order of this node may still reach the target
}

struct Grant {
  model @0 :Text;
  number @1 :UInt64;
}

# A node tells an owner what it used since, and what it no longer uses.
struct Report {
  uses @0 :List(Use);
}

struct Use {
  target @0 :Text;
  model @1 :Text;
  number @2 :UInt64;
  begun @3 :UInt32;    # requests since the last report
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
  spare @5 :Float64;   # value of what a load would displace, 0 if free
}

# An owner asks the keeper of the weight store's permits for one load.
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
