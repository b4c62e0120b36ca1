"""Gateway nodes: routing, quotas, adapter placement and failure recovery.

A platform adapter implements the protocols in `ports` with the types in
`domain`, and runs `app.Node`.
"""
