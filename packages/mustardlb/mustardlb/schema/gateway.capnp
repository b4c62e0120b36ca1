@0xb3f1c6a8d2e94715;

# Messages between the gateways of a fleet.

struct PeerMessage {
  vm @0 :Text;              # who sends
  incarnation @1 :UInt64;   # of its process
  request @2 :UInt64;       # pairs a question with its answer; grows with
                            # each digest
  union {
    digest @3 :Digest;
    snapshotRequest @4 :Named;  # the kind, and the revision that is held
    snapshot @5 :Snapshot;
    want @6 :Want;
    wanted @7 :Bool;        # whether the adapter is in place
    subscription @8 :Bool;  # whether updates are wanted
    update @9 :Update;
  }
}

struct Digest {
  host @0 :Text;            # where the sender is reached
  port @1 :UInt16;
  isLeaving @2 :Bool;
  revisions @3 :List(Named);    # by kind, of the last change seen
  admitted @4 :List(Counted);   # by account, since the process started
  usages @5 :List(Usage);
  holdings @6 :List(Holding);
  dataCentre @7 :Text;
  capacity @8 :Float64;     # of the sender's network link, Mbit/s
  isWatching @9 :Bool;      # the sender watches the store, and is answered
}

struct Update {
  isFull @0 :Bool;          # builds on nothing that was sent before
  revisions @1 :List(Named);
  changes @2 :Data;         # MessagePack, by data centre
  levels @3 :List(Counted); # what is left of each account's burst
}

struct Named {
  name @0 :Text;
  number @1 :UInt64;
}

struct Counted {
  name @0 :Text;
  amount @1 :Float64;
}

struct Usage {
  target @0 :Text;
  running @1 :UInt32;
  unreadTokens @2 :UInt32;
  adapters @3 :List(Text);  # in use
}

struct Holding {
  target @0 :Text;
  fence @1 :UInt64;
  incarnation @2 :UInt64;   # of the target
  isActing @3 :Bool;        # gives orders already
  resident @4 :List(Named); # adapters and their versions
  room @5 :Int16;           # adapters that can be taken now; may be negative
}

struct Snapshot {
  kind @0 :Text;
  revision @1 :UInt64;
  objects @2 :Data;         # JSON
  names @3 :List(Text);     # of all objects, those left out too
}

struct Want {
  target @0 :Text;
  adapter @1 :Text;
  version @2 :UInt64;       # the least that will do
  patience @3 :Float64;     # seconds
  slack @4 :Float64;        # seconds until its answer would be late
}
