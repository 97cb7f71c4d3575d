// Messages between instances. Generated code is committed; see README.md in this folder.
namespace java io.wagtailmux.peer.wire

struct DigestMessage {
  1: required string instance
  2: required string zone
  3: required string peerAddress
  4: required i64 configurationVersion
  5: required bool leaving
}

struct ConfigurationMessage {
  1: required i64 version
  2: required string text
}

struct ShareReportMessage {
  1: required string endpoint
  2: required string boot
  3: required i32 granted
  4: required i32 inFlight
  5: required i32 wanted
  6: required i32 goodAnswers
  7: required i32 failures
}

struct ShareGrantMessage {
  1: required string endpoint
  2: required string boot
  3: required bool proven
  4: required i32 units
  5: required i32 lifetimeMilliseconds
}

service PeerExchange {
  DigestMessage exchange(1: DigestMessage mine)
  ConfigurationMessage configuration()
  list<ShareGrantMessage> shares(1: string instance, 2: list<ShareReportMessage> reports)
}
