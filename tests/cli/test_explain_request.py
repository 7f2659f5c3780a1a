"""From a request's id to what decided its fate, over several logs."""

from __future__ import annotations

from chutelink.cli.explain_request import explain_request, parse_line
from chutelink.cli.output import ExitCode

HEAD = "level=INFO channel=entry"
FIRST = f"""time=2026-01-01T00:00:01.000000Z {HEAD} event=lease_lost reason=expired
time=2026-01-01T00:00:02.000000Z {HEAD} event=placement_begun endpoint=i-1 model=m1
time=2026-01-01T00:00:02.000000Z {HEAD} event=placement_begun endpoint=i-9 model=m9
not a line of ours
"""
SECOND = f"""time=2026-01-01T00:00:02.500000Z {HEAD} event=attempt_failed request=q1 \
endpoint=i-1 result=failed error="reset by peer [step=stream]"
time=2026-01-01T00:00:03.000000Z {HEAD} event=request request=q1 status=502 \
outcome=unknown reason="no endpoint answered in full" took_s=0.9 model=m1 endpoints=i-1
time=2026-01-01T00:00:03.100000Z {HEAD} event=request request=q2 status=200
"""


def write(tmp_path):
    paths = [tmp_path / "a.log", tmp_path / "b.log"]
    paths[0].write_text(FIRST)
    paths[1].write_text(SECOND)
    return paths


def test_the_walk_joins_the_logs_of_several_daemons(tmp_path):
    result = explain_request("q1", write(tmp_path))
    assert result.code is ExitCode.OK
    assert [line["event"] for line in result.data["own"]] == [
        "attempt_failed",
        "request",
    ]
    around = [(line["event"], line.get("endpoint")) for line in result.data["around"]]
    assert around == [("lease_lost", None), ("placement_begun", "i-1")]
    assert "ended unknown with status 502" in result.lines[-1]


def test_an_unknown_request_is_said_to_be_unknown(tmp_path):
    assert explain_request("q9", write(tmp_path)).code is ExitCode.FAILED


def test_a_missing_file_is_an_error_of_the_caller(tmp_path):
    assert explain_request("q1", [tmp_path / "c.log"]).code is ExitCode.INVALID


def test_quoted_values_keep_their_spaces():
    line = parse_line('time=2026-01-01T00:00:01Z event=x reason="a \\"b\\" c"')
    assert line.fields["reason"].startswith("a ")
