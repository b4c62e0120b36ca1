@0xc0a5b9d7f1e24d11;

# Envelope of the requests and replies between two nodes.

struct Request {
  service @0 :Text;
  sender @1 :Text;        # vm_id of the sending node
  incarnation @2 :UInt64; # process incarnation of the sending node
  recipient @3 :Text;     # vm_id of the intended recipient
  payload @4 :Data;       # message of the service
}

struct Reply {
  ok @0 :Bool;
  problem @1 :Text;       # reason of the rejection if not ok
  payload @2 :Data;
}
