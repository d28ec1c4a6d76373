// Envelope of each message between routers: its sender, order and type.

struct Envelope {
  1: optional string sender = "",
  2: optional i64 incarnation = 0,
  3: optional i64 sequence = 0,
  4: optional i32 type_code = 0,
  5: optional binary body = "",
  6: optional i64 sent_at_ms = 0,
}
