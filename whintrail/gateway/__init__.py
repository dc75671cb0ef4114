"""The gateway on sockets: clients on one side, engines on the other, the decision module between."""
