"""What the node, the command line and the stand-ins of mustardlb share."""
