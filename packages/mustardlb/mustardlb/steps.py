"""The steps of every flow, as errors, logs and the fault matrix name them."""

import enum


class Step(enum.StrEnum):
    """A step at which an error can arise.

    The fault matrix has one row for each member, so a step without a row
    fails the tests.
    """

    ADMISSION = 'admission'
    LIMIT = 'limit'
    RECORD = 'record'
    PLACEMENT = 'placement'
    LOAD = 'load'
    DISPATCH = 'dispatch'
    STREAM = 'stream'
    SETTLE = 'settle'
    DRAIN = 'drain'
    CONTRACT_CHANGE = 'contract_change'
    KEY_CHANGE = 'key_change'
    TAKEOVER = 'takeover'
    START = 'start'
    STOP = 'stop'
    SPREAD = 'spread'
    MEMBERSHIP = 'membership'
