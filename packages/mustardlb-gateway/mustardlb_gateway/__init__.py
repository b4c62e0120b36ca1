"""The gateway: routing, limits, adapter placement and recovery of a fleet.

A platform's adapter implements `ports` in terms of `domain` and runs
`app.Node`.
"""
