/** Messages between the processes of guavawalk. Fields are only ever added. */

struct Hello {
  1: i32 protocol_version
  2: string role
  3: string instance
  4: i64 incarnation
  5: i64 version
  6: string digest
  7: binary nonce
  60: string peer_address
}

struct Proof {
  1: binary proof
}

struct LoadReport {
  1: list<i32> queued_by_rank
  2: i32 running
  3: i32 window
  4: i64 queued_prompt_tokens
  5: i64 queued_output_tokens
  6: i32 first_token_ms
  7: double decode_tokens_per_s
  8: bool leaving
  9: i32 warm_prefix_tokens
  50: list<i64> queued_output_by_rank
  51: bool long_full
}

struct Offer {
  1: string attempt_id
  2: string trace_id
  3: string workspace
  4: i32 tier_rank
  5: string model
  6: string service_path
  7: string method
  8: string path
  9: list<string> headers
  10: binary body
  11: i32 prompt_tokens
  12: i32 expected_output_tokens
  13: i64 deadline_ms
  14: string idempotency_key
  15: i64 fingerprint
  16: list<i64> prefix_hashes
  17: i64 version
  18: list<i64> suspects
  19: double workspace_weight
  20: bool idempotent
  21: i64 incarnation
  22: string adapter
  40: i32 cached_elsewhere_tokens
}

struct Queued {
  1: string attempt_id
  2: i64 incarnation
  3: LoadReport load
  4: i32 cached_tokens
}

struct Refused {
  1: string attempt_id
  2: i32 code
  3: string detail
  4: i32 retry_after_ms
  5: LoadReport load
  6: list<i64> suspects
}

struct Started {
  1: string attempt_id
  2: i32 status
  3: list<string> headers
  4: i32 queue_ms
}

struct Chunk {
  1: string attempt_id
  2: i64 offset
  3: binary data
}

struct Finished {
  1: string attempt_id
  2: i32 code
  3: string detail
  4: i64 length
  5: i32 prompt_tokens
  6: i32 cached_tokens
  7: i32 output_tokens
  8: i32 wasted_tokens
  9: string waste_cause
  10: LoadReport load
  11: list<i64> suspects
  12: i32 first_token_ms
  40: i32 retry_after_ms
}

struct Resume {
  1: string attempt_id
  2: i64 incarnation
  3: i64 offset
  30: binary link
}

struct Withdraw {
  1: string attempt_id
  2: i64 incarnation
  3: bool cancel
  30: binary link
}

struct Withdrawn {
  1: string attempt_id
  2: i32 state
  3: i32 code
}

struct TicketRequest {
  1: string workspace
  2: string service_path
  3: string model
}

struct Ticket {
  1: string ticket
  2: i64 expires_in_ms
}

struct LoadRequest {
  1: list<i64> suspects
}

struct VersionRequest {
  1: i64 above
  2: i64 wait_ms
  3: list<i64> suspects
}

struct VersionOffer {
  1: i64 version
  2: string digest
  3: binary root
  4: list<string> shard_digests
  5: list<i64> suspects
}

struct ShardRequest {
  1: string digest
}

struct Shard {
  1: string digest
  2: binary value
}

struct Failure {
  1: i32 code
  2: string detail
}

struct Envelope {
  1: optional Hello hello
  2: optional Proof proof
  3: optional Offer offer
  4: optional Queued queued
  5: optional Refused refused
  6: optional Started started
  7: optional Chunk chunk
  8: optional Finished finished
  9: optional Resume resume
  10: optional Withdraw withdraw
  11: optional Withdrawn withdrawn
  12: optional TicketRequest ticket_request
  13: optional Ticket ticket
  14: optional LoadRequest load_request
  15: optional LoadReport load_report
  16: optional VersionRequest version_request
  17: optional VersionOffer version_offer
  18: optional ShardRequest shard_request
  19: optional Shard shard
  20: optional Failure failure
  21: optional i64 version
}
