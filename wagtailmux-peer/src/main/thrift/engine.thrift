// Messages between instances that run the event-driven engine, sent as bodies of HTTP calls.
// Generated code is committed; see README.md in this folder.
namespace java io.wagtailmux.peer.wire

struct PieceGroupMessage {
  1: required string pool
  2: required string attempt
  3: required i32 stage
  4: required list<i32> pieces
  5: optional string key
  6: required list<string> inputs
  7: required i32 priority
  8: required i64 leftMicroseconds
  9: required i64 spareMicroseconds
  10: required i64 resultBytes
  11: optional string homeZone
  12: optional string inputsFreedAt
  13: optional i32 shard
  14: optional string suspect
  15: optional i64 longestWaitMicroseconds
}

struct PieceOutcomeMessage {
  1: required i32 piece
  2: optional string handle
  3: optional string failure
}

struct PieceGroupResultMessage {
  1: required list<PieceOutcomeMessage> outcomes
  2: required i64 expectedWaitMicroseconds
  3: optional i64 waitBehindEarlierMicroseconds
}

struct FreeResultsMessage {
  1: required string pool
  2: required list<string> handles
  3: optional bool onlyIfNeeded
}

struct InstanceRecordMessage {
  1: required string instance
  2: required string host
  3: required i32 port
  4: required string zone
  5: required i64 boot
  6: optional double cores
  7: optional double linkMegabits
}

struct TrialReportMessage {
  1: required string pool
  2: required i64 order
  3: required i64 ageMicroseconds
  4: required bool stopped
  5: required i64 triedGood
  6: required i64 triedBad
  7: required i64 othersGood
  8: required i64 othersBad
  9: optional i64 triedStreams
  10: optional i64 triedSlowStreams
  11: optional i64 othersStreams
  12: optional i64 othersSlowStreams
  13: optional i64 orderEra
}

struct EndpointEndMessage {
  1: required string endpoint
  2: required i64 startedAtMillis
  3: required string version
  4: required i64 ageMicroseconds
  5: required list<string> parts
  6: optional map<string, i64> sentAgeMicroseconds
}

struct PartSuccessMessage {
  1: required string part
  2: required i64 ageMicroseconds
}

struct RefusalMessage {
  1: required string pool
  2: required list<string> parts
  3: required string state
  4: required i32 revision
  5: required i32 relapses
  6: required i64 ageMicroseconds
  7: required list<string> versions
  8: required list<string> toldBy
}

struct AnswerWatchMessage {
  1: required i64 sinceAgeMicroseconds
  2: required i64 answerTimeMicroseconds
}

struct PoisonEvidenceMessage {
  1: required string pool
  2: required list<EndpointEndMessage> ends
  3: required list<PartSuccessMessage> successes
  4: required list<RefusalMessage> refusals
  5: optional AnswerWatchMessage answerWatch
}

struct EndpointLimitMessage {
  1: required string endpoint
  2: required i64 startedAtMillis
  3: required double requestsPerSecond
  4: required i64 namedAgeMicroseconds
  5: optional i64 notNamedAgeMicroseconds
}

struct PoolLimitsMessage {
  1: required string pool
  2: required double demandPerSecond
  3: required list<EndpointLimitMessage> limits
}

struct WindowUsageMessage {
  1: required i64 window
  2: required map<string, i64> counts
}

struct DutyLeaseMessage {
  1: required string instance
  2: required i64 incarnation
  3: required i64 token
  4: required bool released
  5: optional string previous
}

struct PoolDemandMessage {
  1: required string pool
  2: required i32 busy
  3: required i64 arrivals
  4: required i64 refused
}

struct UsagePushMessage {
  1: required string instance
  2: required i64 boot
  3: required i64 currentWindow
  4: required list<WindowUsageMessage> windows
  5: optional list<PoolDemandMessage> demands
}

struct UsageConfirmationMessage {
  1: required i64 boot
  2: optional bool unfit
}

struct EndpointSpeedMessage {
  1: required string pool
  2: required string endpoint
  3: required i64 startedAtMillis
  4: required double workTime
}

struct PingMessage {
  1: required InstanceRecordMessage sender
  2: required i64 configurationVersion
  3: required bool leaving
  4: optional list<TrialReportMessage> trials
  5: optional list<PoisonEvidenceMessage> poison
  6: optional list<PoolLimitsMessage> limits
  7: optional i64 dutyToken
  8: optional i64 wallLessStoreMilliseconds
  9: optional bool unfitForDuties
  10: optional list<EndpointSpeedMessage> speeds
}

struct RowContentMessage {
  1: required binary value
  2: required set<i64> numbers
}

struct KnownRowMessage {
  1: required string key
  2: optional RowContentMessage current
  3: required list<RowContentMessage> earlier
  4: required i64 number
  5: required i64 firstEra
  6: required i64 firstNumber
}

struct KnownTableMessage {
  1: required string table
  2: required i64 era
  3: required list<KnownRowMessage> rows
}

struct KnownTablesMessage {
  1: required list<KnownTableMessage> tables
}

struct RelayMessage {
  1: required string pool
  2: required string endpoint
  3: required i64 startedAtMillis
}
