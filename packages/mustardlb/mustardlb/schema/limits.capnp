@0xe6b1f0a93c57d482;

# Messages by which holders and keepers of token shares agree.
# Fractions are parts per million of the contract in force.

struct ShareReport {
  account @0 :Text;
  request @1 :UInt64;       # grows with each report of this holder
  adopted @2 :UInt64;       # request whose statement is in force
  epoch @3 :UInt64;         # of the keeper that the report is meant for
  version @4 :UInt64;       # owners version up to which the share is stated
  keeper @5 :Text;          # VM that stated the share in force
  fraction @6 :UInt32;
  standing @7 :UInt32;
  handedBack @8 :Float64;   # tokens handed back since the process started
  demand @9 :Float64;       # tokens a second
  waiting @10 :Float64;     # tokens that waiting calls lack
  largest @11 :Float64;     # tokens of the call that waits first
  waited @12 :Float64;      # seconds that it has waited
  deputy @13 :Text;         # named by the statement in force
  recent @14 :Float64;      # demand of the last moment, tokens a second
  fullness @15 :Float64;    # level of the bucket as part of its capacity
}

struct ShareStatement {
  request @0 :UInt64;       # the report that this answers
  epoch @1 :UInt64;
  version @2 :UInt64;
  fraction @3 :UInt32;
  standing @4 :UInt32;
  lease @5 :Float64;        # seconds from the sending of the report
  tokens @6 :Float64;       # handed out with a growth
  renewed @7 :Bool;         # false: the share stays as it is
  restart @8 :Bool;         # the old level is void
  deputy @9 :Text;          # vouches for the holder if the keeper is silent
}

struct HandoverRequest {
  account @0 :Text;
  epoch @1 :UInt64;         # of the new keeper
  version @2 :UInt64;       # owners version that made it keeper
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
  tokens @1 :Float64;       # level of the free part
}

# What is wanted of a deputy: say which process answers; vouch for a holder
# while its keeper is silent; vouch for it no more; let no keeper of an
# earlier epoch bar it any more.
enum Want {
  name @0;
  extend @1;
  bar @2;
  seal @3;
}

struct DeputyRequest {
  account @0 :Text;
  deputy @1 :Text;          # 'vm_id/incarnation', '' to learn it
  holder @2 :Text;          # 'vm_id/incarnation'
  request @3 :UInt64;       # report that the statement in force answered
  want @4 :Want;
  epoch @5 :UInt64;         # of the keeper that asks
}

struct DeputyReply {
  deputy @0 :Text;
  granted @1 :Bool;         # not where an earlier request forbids it
  remaining @2 :Float64;    # of a bar: seconds that the last one still runs
}
