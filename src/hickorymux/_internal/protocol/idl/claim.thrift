// Thrift form of the messages in coordination/claim_messages.py.
// Names of structs and fields must match the Python classes.

struct ClaimAsk {
  1: optional i64 number = 0,
  2: optional i32 partition = 0,
  3: optional binary entries = ""
}

struct ClaimVerdict {
  1: optional string standing = "",
  2: optional binary owner_body = "",
  3: optional i32 status = 0,
  4: optional i64 claimed_at_ms = 0,
  5: optional i64 trimmed_until_ms = 0
}

struct ClaimAnswer {
  1: optional i64 number = 0,
  2: optional list<ClaimVerdict> verdicts
}
