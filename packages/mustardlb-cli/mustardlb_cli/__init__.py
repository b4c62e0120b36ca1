"""The command line of mustardlb operators."""
