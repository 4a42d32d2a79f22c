import datetime

import pytest

from chiveridge_kernel import clocks, errors, results, submission_ids

NOW = clocks.EPOCH + datetime.timedelta(days=20_000)


def make_issuer(incarnation: str = "life", secret: bytes = b"secret") -> submission_ids.Issuer:
    return submission_ids.Issuer("ikeja-e1", incarnation, secret)


def test_issued_ids_are_distinct_and_verified_only_by_their_issuer():
    issuer = make_issuer()
    batch = issuer.issue("a-team", 100, NOW)
    assert len(set(batch.submission_ids)) == 100
    assert [submission_ids.parse(found).serial for found in batch.submission_ids] == list(
        batch.serials
    )
    for submission_id in batch.submission_ids:
        assert issuer.verify(submission_id, "a-team")
        assert not issuer.verify(submission_id, "b-team")
        assert not make_issuer(secret=b"other").verify(submission_id, "a-team")
        assert not make_issuer(incarnation="next-life").verify(submission_id, "a-team")


def test_neither_the_expiry_nor_the_serial_can_be_changed():
    issuer = make_issuer()
    (submission_id,) = issuer.issue("a-team", 1, NOW).submission_ids
    parts = submission_id.split("~")
    for position in (2, 3):
        changed = list(parts)
        changed[position] = str(int(parts[position]) + 1)
        assert not issuer.verify("~".join(changed), "a-team")


def test_an_id_carries_its_expiry():
    batch = make_issuer().issue("a-team", 1, NOW)
    expires_at = clocks.from_epoch_ms(submission_ids.parse(batch.submission_ids[0]).expires_at_ms)
    assert expires_at == NOW + submission_ids.ID_LIFETIME
    assert batch.expires_at_ms == clocks.to_epoch_ms(expires_at)


@pytest.mark.parametrize(
    "text", ["", "~~~~", "a~b~c~d~e", "a~b~1~-2~e", "a~b~1~2", "a~b~1~2~e~f", "a~b~1~2~\u00e9"]
)
def test_malformed_ids_are_refused(text):
    with pytest.raises(errors.RefusedError) as caught:
        submission_ids.parse(text)
    assert caught.value.code is results.ResultCode.UNKNOWN_SUBMISSION
