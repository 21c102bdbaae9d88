@0xd5f2c9a7b3e14608;

# RPC interfaces between the processes of jasminefall. Each `Data` field holds a type of the crate's
# `message` module, encoded with postcard.

interface ControlNode {
  # Delivers consensus messages from another control replica.
  step @0 (messages :Data) -> ();

  # Proposes a command to the replicated state machine and returns its outcome.
  propose @1 (command :Data) -> (answer :Data);

  # Renews the lease of an entry and returns the configuration if the entry has another version.
  renew @2 (request :Data) -> (answer :Data);

  # Forwards a request, received by an entry or another control replica, that only the leader can
  # answer.
  forward @3 (request :Data) -> (answer :Data);
}

interface EntryNode {
  # Exchanges the state of backend servers and slot loans with another entry.
  exchange @0 (news :Data) -> (answer :Data);
}
