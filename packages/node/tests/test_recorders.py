import json

from chiveridge_node import recorders


def test_a_trace_replaces_ids_and_leases_by_placeholders(edge, tmp_path):
    path = tmp_path / "trace.jsonl"
    recorders.Recorder(str(path), edge.node.runner)
    submission_id = edge.new_id()
    edge.submit(submission_id=submission_id)
    edge.submit(submission_id=submission_id)
    text = path.read_text()
    assert submission_id not in text
    lines = [json.loads(line) for line in text.splitlines()]
    kinds = [line["kind"] for line in lines if line["kind"] != "Ticked"]
    assert kinds == [
        "settings",
        "issue",
        "SubmissionReceived",
        "LeaseReported",
        "SubmissionReceived",
    ]
    values_by_kind = {line["kind"]: line["value"] for line in lines}
    assert values_by_kind["SubmissionReceived"]["submission"]["submission_id"] == "$id1"
    assert values_by_kind["LeaseReported"]["lease_id"] == "$lease1"
