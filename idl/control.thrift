// Calls between the processes of hingepitch. Generated code is committed in
// hingepitch/gen; regenerate with `make idl` after a change of this file.
namespace py hingepitch.gen.control

// A record of the log as it travels between replicas.
struct LogEntry {
  1: required i64 index,
  2: required i64 term,
  3: required i32 kind,
  4: required binary payload,
}

// One message of the consensus protocol; `kind` names the fields in use.
struct PeerMessage {
  1: required i32 kind,
  2: required string sender,
  3: required string receiver,
  4: required i64 term,
  5: optional i64 index,
  6: optional i64 log_term,
  7: optional i64 commit,
  8: optional bool granted,
  9: optional i64 sequence,
  10: optional list<LogEntry> entries,
  11: optional binary snapshot,
}

exception Refused {
  1: required string code,
  2: required string detail,
  3: optional i32 retry_after_ms,
  4: optional string leader,
}

struct SyncRequest {
  1: required string entry,
  2: required string hall,
  3: required i64 applied_version,
  4: required i32 wait_ms,
  5: required map<string, i32> in_flight_by_vm,
}

// Changes after a version. `full` says that the receiver must drop what it
// has. `objects` is msgpack, see hingepitch.model.codec.
struct Changes {
  1: required i64 version,
  2: required bool full,
  3: required binary objects,
  4: optional i32 lease_ms,
}

service Control {
  // Authentication, once for each connection: the caller proves that it
  // knows the shared key by the MAC of the challenge.
  binary challenge() throws (1: Refused refused),
  void authenticate(1: string name, 2: binary mac) throws (1: Refused refused),

  // Between replicas.
  void deliver(1: list<PeerMessage> messages) throws (1: Refused refused),

  // A command for the log; the answer is an encoded outcome.
  binary propose(1: binary envelope) throws (1: Refused refused),

  // Renews the lease of an entry and brings it the changes it lacks.
  Changes sync(1: SyncRequest request) throws (1: Refused refused),

  // Follows the state through any replica, without a lease.
  Changes watch(1: i64 after_version, 2: i32 wait_ms)
    throws (1: Refused refused),

  // Whether the given VM takes no new request any more and has none in
  // flight, at every entry.
  bool is_drained(1: string vm) throws (1: Refused refused),

  // Whether no entry works by a state older than a version; waits a while
  // for that to come true.
  bool is_in_force(1: i64 version, 2: i32 wait_ms)
    throws (1: Refused refused),

  // An index; a state that has applied it is as new as the leader's was when
  // the call came.
  i64 read_index() throws (1: Refused refused),

  // A question of an entry, a relaying replica or a joining one; question
  // and answer are msgpack, see hingepitch.jobs.question.
  binary ask(1: binary question) throws (1: Refused refused),
}
