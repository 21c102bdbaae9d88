@0xd5f2c9a7b3e14608;

# Calls between jasminefall's own processes. Bodies are the typed messages of the crate's `message`
# module, encoded with postcard.

interface ControlNode {
  # Carries messages of the consensus algorithm from another control replica.
  step @0 (messages :Data) -> ();

  # Proposes a command to the replicated state and returns what came of it.
  propose @1 (command :Data) -> (answer :Data);

  # Renews the lease of an entry and brings it the configuration it lacks.
  renew @2 (request :Data) -> (answer :Data);

  # Carries a call that an entry or another control replica has taken and only the leader answers.
  forward @3 (request :Data) -> (answer :Data);
}

interface EntryNode {
  # Carries what another entry knows of backend servers.
  exchange @0 (news :Data) -> (answer :Data);
}
