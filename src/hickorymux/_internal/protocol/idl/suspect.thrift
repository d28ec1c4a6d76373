// Thrift form of the messages in coordination/suspect_messages.py.
// Names of structs and fields must match the Python classes.

struct CrashReport {
  1: optional i64 number = 0,
  2: optional string crash = "",
  3: optional list<i64> fingerprints,
  4: optional bool for_zone = 0
}

struct CrashReceipt {
  1: optional i64 number = 0
}

struct SuspectCleared {
  1: optional i64 fingerprint = 0
}

struct TurnRequest {
  1: optional i64 number = 0
}

struct TurnGrant {
  1: optional i64 number = 0
}

struct TurnEnd {
  1: optional i64 number = 0
}

struct PartCrash {
  1: optional string crash = "",
  2: optional i64 request = 0,
  3: optional list<i64> parts
}

struct PartsCleared {
  1: optional list<i64> parts,
  2: optional list<i64> ages_ms
}

struct PartsRefused {
  1: optional list<i64> parts,
  2: optional list<string> crashes,
  3: optional list<i64> ages_ms,
  4: optional list<i64> requests,
  5: optional i64 failed_trials = 0,
  6: optional list<i64> rivals,
  7: optional list<i64> rival_crashes
}

struct PartsTried {
  1: optional list<i64> parts,
  2: optional i32 doubt = 0
}

struct SuspectKnown {
  1: optional i64 fingerprint = 0,
  2: optional list<string> crashes,
  3: optional i64 age_ms = 0,
  4: optional i64 trial_interval_ms = 0
}
