"""Code shared by the nodes, the command line and the simulators."""
