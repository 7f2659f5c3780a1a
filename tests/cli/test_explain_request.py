"""Tracing of a request through the logs of several daemons."""

from __future__ import annotations

from chutelink.cli.explain_request import explain_request, parse_line
from chutelink.cli.output import ExitCode

HEAD = "level=INFO channel=entry"
FIRST = f"""time=2026-01-01T00:00:01.000000Z {HEAD} event=lease_lost reason=expired
time=2026-01-01T00:00:02.000000Z {HEAD} event=placement_begun endpoint=i-1 model=m1
time=2026-01-01T00:00:02.000000Z {HEAD} event=placement_begun endpoint=i-9 model=m9
not a line of this format
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


def test_logs_of_several_daemons_are_merged(tmp_path):
    result = explain_request("q1", write(tmp_path))
    assert result.code is ExitCode.OK
    assert [line["event"] for line in result.data["own"]] == [
        "attempt_failed",
        "request",
    ]
    around = [(line["event"], line.get("endpoint")) for line in result.data["around"]]
    assert around == [("lease_lost", None), ("placement_begun", "i-1")]
    assert "ended unknown with status 502" in result.lines[-1]


def test_resumption_is_shown_with_the_request_that_it_resumes(tmp_path):
    path = tmp_path / "a.log"
    path.write_text(
        f"time=2026-01-01T00:00:01Z {HEAD} event=request request=q1 status=200 "
        "outcome=answered\n"
        f"time=2026-01-01T00:00:02Z {HEAD} event=stream_resumed request=q2 "
        "resumes=q1 software_version=v1\n"
        f"time=2026-01-01T00:00:03Z {HEAD} event=request request=q2 status=503 "
        "outcome=not-run resumes=q1\n"
    )
    result = explain_request("q1", [path])
    assert [line["request"] for line in result.data["own"]] == ["q1", "q2", "q2"]
    assert "ended answered with status 200" in result.lines[-1]


def test_unknown_request_fails(tmp_path):
    assert explain_request("q9", write(tmp_path)).code is ExitCode.FAILED


def test_missing_file_is_invalid(tmp_path):
    assert explain_request("q1", [tmp_path / "c.log"]).code is ExitCode.INVALID


def test_quoted_value_keeps_its_spaces():
    line = parse_line('time=2026-01-01T00:00:01Z event=x reason="a \\"b\\" c"')
    assert line.fields["reason"].startswith("a ")


def test_hold_of_a_prompt_part_is_shown_with_the_request_that_it_refused(tmp_path):
    path = tmp_path / "a.log"
    path.write_text(
        f"time=2026-01-01T00:00:01Z {HEAD} event=suspect_held fingerprint=part-1\n"
        f"time=2026-01-01T00:00:01Z {HEAD} event=suspect_held fingerprint=part-2\n"
        f"time=2026-01-01T00:00:02Z {HEAD} event=request request=q1 status=503 "
        "fingerprint=f held_by=part-1\n"
    )
    around = explain_request("q1", [path]).data["around"]
    assert [line["fingerprint"] for line in around] == ["part-1"]
