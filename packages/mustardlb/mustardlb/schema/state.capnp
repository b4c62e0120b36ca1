@0xd2f0c47a9be38b55;

# Messages by which nodes replicate shared state.

# Attestations by VMs that hold the same versions of the tracked objects.
struct Group {
  versions @0 :List(UInt64);
  members @1 :List(UInt64);      # hashes of the vm_ids
  incarnations @2 :List(UInt32); # lowest 32 bits
  ages @3 :List(UInt32);         # ms since attested, rounded up
}

struct Poll {
  versions @0 :List(UInt64);     # held by the poller, in fixed order
  stamp @1 :Float64;             # last stamp from the polled node
  stampIncarnation @2 :UInt64;   # process that issued it, 0 if none
  sinceStamp @3 :UInt32;         # us since its receipt, rounded down
  hold @4 :UInt16;               # longest hold without changes, ms
  age @5 :UInt32;                # ms, staleness of the poller's state
  step @6 :UInt16;               # ms; a state newer by this ends the hold
  accepted @7 :List(UInt64);     # newest accepted, known to the poller
  groups @8 :List(Group);
}

struct PollReply {
  versions @0 :List(UInt64);
  stamp @1 :Float64;             # clock reading of the polled node
  stampIncarnation @2 :UInt64;
  age @3 :UInt32;                # us, staleness of its state, rounded up
  held @4 :UInt32;               # us from poll to reply, rounded down
  accepted @5 :List(UInt64);
}

struct ObjectRequest {
  index @0 :UInt16;              # position in the fixed order
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

# The last good entry of an object whose newest value is invalid.
struct Kept {
  name @0 :Text;
  revision @1 :UInt64;
  parts @2 :List(Text);
}

struct KeptReply {
  kept @0 :List(Kept);
}

# A previous owner has stopped acting for slices that the recipient owns now.
struct Release {
  kind @0 :Text;                 # task of the owner: accounts, targets
  slices @1 :List(UInt16);
  epochs @2 :List(UInt64);       # epochs of the new owner
}
