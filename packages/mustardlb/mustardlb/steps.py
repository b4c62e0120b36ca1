"""Steps of request and control flows, used in errors and logs."""

import enum


class Step(enum.StrEnum):
    """A step at which an error can occur.

    The tests fail unless each member has a row in the fault matrix.
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
