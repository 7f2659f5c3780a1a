"""Constants for the records of which software version began a stream."""

from __future__ import annotations

from typing import Final

OWNERS: Final = 3
"""Number of other daemons that keep each record.

Several daemons may fail at once, among them the one that relayed the stream.
"""
LOOKUP_PEERS: Final = 5
"""Number of daemons asked: the owners, and those that replace lost ones."""
HISTORY_PEERS: Final = 8
"""Number of daemons that a daemon asks after its start for the versions that served."""
HISTORY_TIMEOUT_S: Final = 5.0
"""Time after a start from which answers that are missing are not awaited any more.

A peer that has a link and doesn't answer runs a release that can't read the question.
"""
LOOKUP_TIMEOUT_S: Final = 0.5
"""How long a request waits for the answers; callers wait for seconds for an event."""
LOOKUP_SETTLE_S: Final = 0.05
"""How long other answers are awaited after the first record.

An owner that has missed the last update has an older record of the attempt.
"""
LOOKUP_POLL_S: Final = 0.02
"""How often a daemon that has just started looks for new links during a lookup."""
LINKING_S: Final = 2.0
"""Time after a start in which links to other daemons may still be missing."""
RETENTION_S: Final = 120.0
"""How long a stream can be resumed: twice the default deadline of a request."""
MAX_ORIGINS: Final = 20_000
"""Number of records kept; more than a daemon and its peers begin within RETENTION_S."""
MAX_ORIGINS_PER_MESSAGE: Final = 200
"""Bounds the size of a message, some 10 KB."""
SAVE_PERIOD_S: Final = 0.25
"""Interval at which a daemon compares the stored versions with those it knows."""
COVERAGE_PERIOD_S: Final = 5.0
"""Interval at which the stored versions are confirmed.

A daemon that starts needs all changes of registrations since then; the store keeps them
for some 20 s.
"""
SAVERS: Final = 3
"""Number of daemons that store new versions; each waits for those before it."""
SAVE_RANK_DELAY_S: Final = 0.5
"""Additional delay per daemon rank before a daemon stores a version."""
SHARE_PERIOD_S: Final = 0.05
"""Interval at which a daemon tells its recorders which streams have begun or ended.

Streams that began since the last time can't be resumed if all daemons are lost.
"""
SAVE_STREAMS_PERIOD_S: Final = 0.2
"""Minimum interval between two writes of a recorder; the store limits their rate."""
MAX_REPORTS_PER_S: Final = 160.0
"""Number of reports that a recorder gets; daemons of large fleets report less often."""
MAX_SAVED_BYTES_PER_S: Final = 100_000
"""Bounds how much a recorder writes; larger rows are written less often."""
REFRESH_PERIOD_S: Final = 2.0
"""Interval at which a daemon repeats all its streams, as messages may be lost."""
DAEMONS_PER_RECORDER: Final = 50
"""Number of daemons for each recorder, among which the streams are divided."""
MAX_RECORDED_STREAMS: Final = 5000
"""Number of streams that a recorder stores, the newest ones.

Streams whose callers have left are kept, too, as their callers may resume them.
"""
MAX_STORED_ID_CHARS: Final = 128
"""Streams with longer request ids, which callers choose, are not stored."""
MAX_ROW_BYTES: Final = 32 * 1024
"""Limit of a row's ids and versions; the store accepts 64 KB in base64."""
MAX_REMOVED_ROWS: Final = 50
"""Number of rows that are removed at once; the store accepts 100 changes."""
FIRST_READ_POLL_S: Final = 0.02
"""How often a daemon that starts looks whether it has read the registrations."""
STORE_RETRY_S: Final = 0.5
"""Time after a failed call to the store until the next one."""
MAX_KNOWLEDGE_AGE_S: Final = 1.0
"""Age up to which a daemon knows the processes that serve.

A new process of an endpoint has no models. Until the placer has found it and a model is
loaded, it serves no streams.
"""
