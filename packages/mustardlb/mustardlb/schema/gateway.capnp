@0xb3f1c6a8d2e94715;

# Messages between the gateways of a fleet.

struct PeerMessage {
  vm @0 :Text;              # name of the sender, empty in a response
  incarnation @1 :UInt64;   # incarnation of the sender's process, 0 in a
                            # response
  request @2 :UInt64;       # id that pairs a request with its response, or
                            # sequence number of a digest
  union {
    digest @3 :Digest;
    snapshotRequest @4 :Named;  # kind, and revision of the sender's copy
    snapshot @5 :Snapshot;
    want @6 :Want;
    wanted @7 :Bool;        # response to `want`: whether it is loaded
    subscription @8 :Bool;  # true starts updates, false ends them
    update @9 :Update;
    charge @10 :Charge;
    charged @11 :Charged;   # response to `charge`
    refund @12 :Charge;     # of an earlier `charge`; has no response
    reserve @13 :Reserve;
    reserved @14 :Reserved; # response to `reserve`
    permit @15 :Permit;
    permitted @16 :Float64; # response to `permit`: 0, or seconds to wait
    trial @17 :Text;        # quarantined suspect
    tried @18 :Bool;        # response to `trial`: whether it is granted
    tellOrigins @19 :List(Origin);
    toldOrigins @20 :Void;  # response to `tellOrigins`
    findOrigin @21 :FindOrigin;
    foundOrigin @22 :FoundOrigin;   # response to `findOrigin`
    relay @23 :Relay;       # this connection to a target
    relayResult @24 :UInt8; # response to `relay`: RelayOutcome
    rest @25 :Rest;         # for the receiver, at a target that it relayed to
    observed @26 :Observed; # for the owner of a target; has no response
    coldPermit @27 :Cold;   # its response is `permitted`
    coldNotice @28 :Cold;   # has no response
    findRemovals @29 :Void; # registrations that the store has removed
    foundRemovals @30 :List(Removal);   # response to `findRemovals`
  }
}

struct Removal {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
  epoch @2 :UInt64;         # of the store at the removal
  revision @3 :UInt64;      # of the store's copy without the registration
}

struct Rest {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
  seconds @2 :Float64;      # 0 if it wants none
  isLeaving @3 :Bool;
}

struct Observed {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
  fast @2 :UInt32;          # responses, in comparison with other targets
  slow @3 :UInt32;
  failed @4 :UInt32;        # requests that failed or were rejected
  isSuspended @5 :Bool;     # the sender has suspended the target
}

struct Cold {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
  seconds @2 :Float64;      # for which it is cold, 0 if it did not say so
  ranked @3 :List(Text);    # nodes of the highest ranks, in `coldPermit` only
}

struct Relay {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
}

struct Origin {
  service @0 :Text;         # empty if only the software is known
  software @1 :Text;        # version of the software of the target
  streams @2 :List(UInt64); # hashes of the ids of the requests that began
                            # streams there
}

struct FindOrigin {
  stream @0 :UInt64;        # hash of the id of the request that began it
  services @1 :List(Text);  # those to which its route sends requests
}

struct FoundOrigin {
  isFound @0 :Bool;
  origin @1 :Origin;
  possible @2 :List(Text);  # versions that may have begun a stream
  isComplete @3 :Bool;      # whether there can be no others
}

struct Digest {
  host @0 :Text;            # address of the sender
  port @1 :UInt16;
  isLeaving @2 :Bool;
  revisions @3 :List(Named);    # revision of the last change, by kind
  admitted @4 :List(Counted);   # cost since the process started, by account
  usages @5 :List(Usage);
  holdings @6 :List(Holding);
  dataCentre @7 :Text;
  capacity @8 :Float64;     # capacity of the sender's network link, Mbit/s
  isWatching @9 :Bool;      # whether the sender's watch of the store works
  canClaim @10 :Bool = true;  # false if the store does not answer the sender
  crashEvidence @11 :CrashEvidence; # found by the sender
  targetLimits @12 :List(LimitNotice);
  isCutOff @13 :Bool;       # whether the sender reaches no target
  epoch @14 :UInt64;        # of the store, to which the revisions belong
}

struct Update {
  isFull @0 :Bool;          # replaces all earlier updates
  revisions @1 :List(Named);
  changes @2 :Data;         # changes of each data centre, MessagePack
  levels @3 :List(Counted); # levels of the accounts' token buckets
  crashEvidence @4 :CrashEvidence;  # known to the sender, not sent before
  targetLimits @5 :List(LimitNotice); # known to the sender, not sent before
  cutOff @6 :List(Text);    # changed members that reach no target
  reports @7 :Data;         # slowdowns and windows of targets in `changes`,
                            # MessagePack
  epoch @8 :UInt64;         # of the store, to which the revisions belong
}

struct CrashEvidence {
  reports @0 :List(CrashReport);
  outputs @1 :List(Counted);  # last output of suspects, Unix seconds
}

struct CrashReport {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
  at @2 :Float64;           # when it ended, Unix seconds
  suspects @3 :List(Text);  # of requests that had no output
  sentAt @4 :List(Float64); # when the last one of each suspect was sent,
                            # Unix seconds
}

struct LimitNotice {
  target @0 :Text;
  incarnation @1 :UInt64;   # of the target
  isLimited @2 :Bool;
  limit @3 :Float64;        # requests a second
  at @4 :Float64;           # when the target said so, Unix seconds
  isBrittle @5 :Bool;
  maxRejections @6 :Float64;  # requests a second that it can reject
}

struct Permit {
  notice @0 :LimitNotice;
  rank @1 :UInt16;          # of the receiver, 0 for the owner
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
  unreadTokens @2 :UInt32;  # prompt tokens to be processed
  adapters @3 :List(Text);  # adapters in use
  slowdown @4 :UInt16;      # reported to the sender lately, percent, or 0
  window @5 :UInt16;        # of which the sender is the owner, or 0
  windowOf @6 :UInt64;      # incarnation of the target with that window
}

struct Holding {
  target @0 :Text;
  fence @1 :UInt64;         # fencing token
  incarnation @2 :UInt64;   # incarnation of the target
  isActing @3 :Bool;        # whether the node sends commands yet
  resident @4 :List(Named); # loaded adapters and their versions
  room @5 :Int16;           # free adapter slots; may be negative
}

struct Snapshot {
  kind @0 :Text;
  revision @1 :UInt64;
  objects @2 :Data;         # JSON
  names @3 :List(Text);     # names of all objects, unchanged ones too
  epoch @4 :UInt64;         # of the store, to which the revision belongs
}

struct Want {
  target @0 :Text;
  adapter @1 :Text;
  version @2 :UInt64;       # minimum version, 0 for any
  patience @3 :Float64;     # timeout, seconds
  slack @4 :Float64;        # time to the latency objective, seconds
  priority @5 :UInt8 = 5;   # 0 is the most urgent
  account @6 :Text;         # '' if it is not known
  tokens @7 :UInt32;        # prompt tokens to be processed
}

struct Charge {
  account @0 :Text;
  cost @1 :Float64;         # in the unit of the account's limit
  dataCentre @2 :Text;      # of the sender
}

struct Charged {
  isDecided @0 :Bool;       # false if the owner does not know the account
  wait @1 :Float64;         # 0 if granted, otherwise seconds to wait
  level @2 :Float64;        # level of the account's bucket
}

struct Reserve {
  target @0 :Text;
  adapter @1 :Text;
  version @2 :UInt64;       # minimum version, 0 for any
  tokens @3 :UInt32;        # prompt tokens to be processed
  maxQueue @4 :Float64;     # accept only up to this queue, seconds
  isLoad @5 :Bool;          # whether the adapter will be loaded first
  priority @6 :UInt8 = 5;   # 0 is the most urgent
  account @7 :Text;         # '' if it is not known
  slack @8 :Float64;        # time to the latency objective, seconds
}

struct Reserved {
  isDecided @0 :Bool;       # false if the node does not control the target
  isAccepted @1 :Bool;
  isResident @2 :Bool;      # whether the adapter is loaded
  queue @3 :Float64;        # queue of prompts, seconds
  turn @4 :Float64;         # seconds until a load starts, 0 if not known
}
