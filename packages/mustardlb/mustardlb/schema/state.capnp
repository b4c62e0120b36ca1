@0xd2f0c47a9be38b55;

# Messages by which nodes spread shared state.

# Attestations by VMs that hold the same versions of the tracked objects.
struct Group {
  versions @0 :List(UInt64);
  members @1 :List(UInt64);      # hash of the vm_id
  incarnations @2 :List(UInt32); # last bits
  ages @3 :List(UInt32);         # ms since made, rounded up
}

struct Poll {
  versions @0 :List(UInt64);     # held by the poller, in the fixed order
  stamp @1 :Float64;             # last stamp of the polled node
  stampIncarnation @2 :UInt64;   # incarnation that gave it, 0 if none
  sinceStamp @3 :UInt32;         # us since the poller got it, rounded down
  hold @4 :UInt16;               # ms to wait for news
  age @5 :UInt32;                # ms, of the poller's knowledge
  step @6 :UInt16;               # ms by which newer knowledge is news
  accepted @7 :List(UInt64);     # known to be accepted, by the poller
  groups @8 :List(Group);
}

struct PollReply {
  versions @0 :List(UInt64);
  stamp @1 :Float64;             # clock of the polled node
  stampIncarnation @2 :UInt64;
  age @3 :UInt32;                # us, of its knowledge, rounded up
  held @4 :UInt32;               # us from request to reply, rounded down
  accepted @5 :List(UInt64);
}

struct ObjectRequest {
  index @0 :UInt16;              # of the tracked object
}

struct ObjectReply {
  version @0 :UInt64;
  value @1 :Data;
}

struct PartRequest {
  hash @0 :Text;
}

struct PartReply {
  found @0 :Bool;
  value @1 :Data;
}

# An object whose newest bytes are invalid, as it is in force.
struct Kept {
  name @0 :Text;
  revision @1 :UInt64;
  parts @2 :List(Text);
}

struct KeptReply {
  kept @0 :List(Kept);
}

# An owner says that it no longer acts for slices that another owns now.
struct Release {
  kind @0 :Text;                 # what the slices hold: accounts, targets
  slices @1 :List(UInt16);
  epochs @2 :List(UInt64);       # of the new owner
}
