@0xe6b1f0a93c57d482;

# Messages between the holders of token shares, the coordinator of an account
# (fields named keeper) and deputies. Fractions are parts per million of the
# contract in force. The standing part of a share stays in force after its
# lease has ended.

struct ShareReport {
  account @0 :Text;
  request @1 :UInt64;       # increases with each report of this holder
  adopted @2 :UInt64;       # request number of the statement in force
  epoch @3 :UInt64;         # of the coordinator that the report is sent to
  version @4 :UInt64;       # owner table version that the share holds up to
  keeper @5 :Text;          # VM of the coordinator that stated the share
  fraction @6 :UInt32;
  standing @7 :UInt32;
  handedBack @8 :Float64;   # tokens returned since the process started
  demand @9 :Float64;       # tokens per second
  waiting @10 :Float64;     # tokens that waiting calls still need
  largest @11 :Float64;     # tokens of the first waiting call
  waited @12 :Float64;      # seconds that this call has been waiting
  deputy @13 :Text;         # named by the statement in force
  recent @14 :Float64;      # demand averaged over a shorter time
  fullness @15 :Float64;    # level of the bucket divided by its capacity
}

struct ShareStatement {
  request @0 :UInt64;       # number of the report that this replies to
  epoch @1 :UInt64;
  version @2 :UInt64;
  fraction @3 :UInt32;
  standing @4 :UInt32;
  lease @5 :Float64;        # seconds from the time the report was sent
  tokens @6 :Float64;       # added to the bucket of a share that grows
  renewed @7 :Bool;         # false: the share is confirmed unchanged
  restart @8 :Bool;         # the tokens of the old share are discarded
  deputy @9 :Text;          # extends the lease if the coordinator fails
}

struct HandoverRequest {
  account @0 :Text;
  epoch @1 :UInt64;         # of the new coordinator
  version @2 :UInt64;       # owner table version that made it the owner
}

struct BookEntry {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  request @2 :UInt64;
  fraction @3 :UInt32;
  standing @4 :UInt32;
  sentRequest @5 :UInt64;
  sentFraction @6 :UInt32;
  sentStanding @7 :UInt32;
  sentTokens @8 :Float64;
  handedBack @9 :Float64;
  version @10 :UInt64;
  silence @11 :Float64;     # seconds since the last report
  deputy @12 :Text;
  sentDeputy @13 :Text;
}

struct Handover {
  entries @0 :List(BookEntry);
  tokens @1 :Float64;       # level of the pool of the free fraction
}

# Requests to a deputy: return the name of its process; extend a holder's
# lease; block further extensions of it; reject later requests of coordinators
# of earlier epochs to block them.
enum Want {
  name @0;
  extend @1;
  bar @2;
  seal @3;
}

struct DeputyRequest {
  account @0 :Text;
  deputy @1 :Text;          # 'vm_id/incarnation', '' if not known
  holder @2 :Text;          # 'vm_id/incarnation'
  request @3 :UInt64;       # number of the report of the statement in force
  want @4 :Want;
  epoch @5 :UInt64;         # of the coordinator that sends the request
}

struct DeputyReply {
  deputy @0 :Text;
  granted @1 :Bool;         # false if an earlier request prevents it
  remaining @2 :Float64;    # bar: seconds that the last extension still runs
}
