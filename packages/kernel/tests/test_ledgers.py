from chiveridge_kernel import ledgers, results

COUNT = 3 * ledgers.BLOCK_SIZE


def make_ledger() -> ledgers.SubmissionLedger:
    ledger = ledgers.SubmissionLedger()
    ledger.note_issued(range(1, COUNT + 1), 1000)
    return ledger


def test_each_serial_has_its_own_state():
    ledger = make_ledger()
    ledger.admit(ledgers.BLOCK_SIZE)
    ledger.refuse(ledgers.BLOCK_SIZE + 1, results.ResultCode.OVERLOADED)
    admitted = [serial for serial in range(1, COUNT + 1) if ledger.is_admitted(serial)]
    refused = [serial for serial in range(1, COUNT + 1) if ledger.refusal(serial) is not None]
    assert admitted == [ledgers.BLOCK_SIZE]
    assert refused == [ledgers.BLOCK_SIZE + 1]
    assert ledger.refusal(ledgers.BLOCK_SIZE + 1) is results.ResultCode.OVERLOADED


def test_every_result_code_can_be_stored():
    ledger = make_ledger()
    for serial, code in enumerate(results.ResultCode, start=1):
        ledger.refuse(serial, code)
        assert ledger.refusal(serial) is code


def test_an_id_takes_about_one_byte_until_the_last_of_its_block_expires():
    ledger = make_ledger()
    assert ledger.size_bytes() <= COUNT + ledgers.BLOCK_SIZE
    ledger.note_issued(range(COUNT + 1, COUNT + 2), 2000)
    ledger.drop_expired(1999)
    assert ledger.size_bytes() == ledgers.BLOCK_SIZE
    ledger.drop_expired(2000)
    assert ledger.size_bytes() == 0
