"""The entry node of mustardlb."""
