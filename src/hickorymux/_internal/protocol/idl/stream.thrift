// Thrift form of the messages in coordination/stream_messages.py.
// Names of structs and fields must match the Python classes.

struct StreamBegun {
  1: optional i64 key = 0,
  2: optional string pool = "",
  3: optional string version = "",
  4: optional i32 lifetime_ms = 0
}

struct StreamQuery {
  1: optional i64 number = 0,
  2: optional i64 key = 0
}

struct StreamReply {
  1: optional i64 number = 0,
  2: optional string pool = "",
  3: optional string version = "",
  4: optional i32 lifetime_ms = 0
}
