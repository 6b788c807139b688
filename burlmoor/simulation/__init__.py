"""What burlmoor balances, in virtual time: the shipped core and decisions among executors without sockets."""
