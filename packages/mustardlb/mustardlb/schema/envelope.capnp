@0xc0a5b9d7f1e24d11;

# One request and one reply between two nodes.

struct Request {
  service @0 :Text;
  sender @1 :Text;        # vm_id of the caller
  incarnation @2 :UInt64; # process incarnation of the caller
  recipient @3 :Text;     # vm_id that the caller means to reach
  payload @4 :Data;       # message of the service
}

struct Reply {
  ok @0 :Bool;
  problem @1 :Text;       # why it was refused, where not ok
  payload @2 :Data;
}
