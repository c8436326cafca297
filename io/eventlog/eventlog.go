// Package eventlog writes the numbered events of a node to its structured log.
//
// Each event has a number whose meaning never changes, so that operators can match on it. Events is the catalogue; the
// page docs/events.md lists the same rows.
package eventlog

import (
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is the number of an event.
type Event uint16

// The events. They are grouped by hundreds: 100 process, 200 target, 300 membership, 400 configuration, 500 calls,
// 600 platform.
const (
	Started                Event = 100
	Stopping               Event = 101
	Stopped                Event = 102
	DrainTimedOut          Event = 103
	ServerFailed           Event = 104
	SettingsReloaded       Event = 105
	SettingsRejected       Event = 106
	LibraryMessage         Event = 107
	TargetReady            Event = 200
	TargetNotReady         Event = 201
	TargetDraining         Event = 202
	TargetCrashed          Event = 203
	AnnouncementIgnored    Event = 204
	TargetLost             Event = 205
	TargetLimited          Event = 206
	TargetNoticeMalformed  Event = 207
	MemberChanged          Event = 300
	GossipNotSent          Event = 301
	HostUp                 Event = 302
	HostDown               Event = 303
	HostChanged            Event = 304
	HostLeft               Event = 305
	HostEntryUnreadable    Event = 306
	MemberSyncFailed       Event = 307
	ConfigInstalled        Event = 400
	ConfigOlder            Event = 401
	ConfigDiffers          Event = 402
	ConfigRejected         Event = 403
	ConfigNotPulled        Event = 404
	SeedSilent             Event = 405
	ConfigObjectUnreadable Event = 406
	ConfigWatchEnded       Event = 407
	RequestQuarantined     Event = 500
	QuarantineCleared      Event = 501
	HandlerPanicked        Event = 502
	RequestAnswered        Event = 510
	RequestFailed          Event = 511
	RequestRejected        Event = 512
	CallOffered            Event = 513
	CallNotStarted         Event = 514
	CallEnded              Event = 515
	PlatformDown           Event = 600
	PlatformUp             Event = 601
	SeedsUnreadable        Event = 602
	SeedsNotWritten        Event = 603
	HostNotRegistered      Event = 604
	PlatformRestored       Event = 605
)

// Row is the entry of an event in the catalogue.
type Row struct {
	Level   zapcore.Level
	Name    string
	Meaning string
}

// Events is the catalogue of all events.
var Events = map[Event]Row{
	Started:                {zapcore.InfoLevel, "started", "the node listens on its addresses"},
	Stopping:               {zapcore.InfoLevel, "stopping", "a planned stop began; new calls are rejected as not executed"},
	Stopped:                {zapcore.InfoLevel, "stopped", "the process ends"},
	DrainTimedOut:          {zapcore.WarnLevel, "drain-timed-out", "calls were still in flight at the end of the drain timeout"},
	ServerFailed:           {zapcore.ErrorLevel, "server-failed", "a listener ended with an error"},
	SettingsReloaded:       {zapcore.InfoLevel, "settings-reloaded", "the settings file was read again; what can change without a restart is in force"},
	SettingsRejected:       {zapcore.ErrorLevel, "settings-rejected", "the changed settings file has faults; the settings in force stay"},
	LibraryMessage:         {zapcore.WarnLevel, "library-message", "log output of a library, such as a peer's connection that ended in an unusual way"},
	TargetReady:            {zapcore.InfoLevel, "target-ready", "the target on this host takes calls"},
	TargetNotReady:         {zapcore.WarnLevel, "target-not-ready", "the target missed its heartbeats or has not announced itself"},
	TargetDraining:         {zapcore.InfoLevel, "target-draining", "the target gets no new calls"},
	TargetCrashed:          {zapcore.WarnLevel, "target-crashed", "the target broke the connections of all calls in flight"},
	AnnouncementIgnored:    {zapcore.WarnLevel, "announcement-ignored", "an announcement cannot be read, is for another address, or is superseded by a newer one"},
	TargetLost:             {zapcore.WarnLevel, "target-lost", "the target accepts no connections or another one has its address; its next announcement brings it back"},
	TargetLimited:          {zapcore.WarnLevel, "target-limited", "the target's responses name another limit on the rate of its requests; 0 stands for no limit"},
	TargetNoticeMalformed:  {zapcore.WarnLevel, "target-notice-malformed", "what a response of the target states about it cannot be decoded; that part is ignored"},
	MemberChanged:          {zapcore.InfoLevel, "member-changed", "a member's state changed in this node's view"},
	HostUp:                 {zapcore.InfoLevel, "host-up", "the node of a host answers again"},
	HostDown:               {zapcore.WarnLevel, "host-down", "the node of a host cannot be reached; it gets calls only if no other one can"},
	HostChanged:            {zapcore.InfoLevel, "host-changed", "a host is new, or its address, service or readiness has changed"},
	HostLeft:               {zapcore.InfoLevel, "host-left", "a host has left for good"},
	HostEntryUnreadable:    {zapcore.WarnLevel, "host-entry-unreadable", "an entry of a host in the platform cannot be read; it is ignored"},
	MemberSyncFailed:       {zapcore.InfoLevel, "member-sync-failed", "an exchange of member records failed; another one follows within seconds"},
	ConfigInstalled:        {zapcore.InfoLevel, "config-installed", "a newer generation of the configuration is in force"},
	ConfigOlder:            {zapcore.ErrorLevel, "config-older", "the platform or a peer shows a lower generation than the one in force; it was not installed"},
	ConfigDiffers:          {zapcore.ErrorLevel, "config-differs", "another text has the generation in force; it was not installed"},
	ConfigRejected:         {zapcore.ErrorLevel, "config-rejected", "a newer text has faults; the one in force stays"},
	ConfigNotPulled:        {zapcore.DebugLevel, "config-not-pulled", "a peer did not give the configuration that it announced; another one is asked"},
	SeedSilent:             {zapcore.DebugLevel, "seed-silent", "a seed peer does not answer"},
	ConfigObjectUnreadable: {zapcore.ErrorLevel, "config-object-unreadable", "the platform's configuration object cannot be read; the one in force stays"},
	ConfigWatchEnded:       {zapcore.InfoLevel, "config-watch-ended", "a watch of the configuration in the platform ended without a change"},
	GossipNotSent:          {zapcore.ErrorLevel, "gossip-not-sent", "a datagram to another node could not be sent"},
	RequestQuarantined:     {zapcore.WarnLevel, "request-quarantined", "requests with this fingerprint crashed targets and are rejected"},
	QuarantineCleared:      {zapcore.InfoLevel, "quarantine-cleared", "an operator cleared a fingerprint"},
	HandlerPanicked:        {zapcore.ErrorLevel, "handler-panicked", "a fault of the node itself; the call was answered as internal"},
	RequestAnswered:        {zapcore.InfoLevel, "request-answered", "a request got its target's answer"},
	RequestFailed:          {zapcore.WarnLevel, "request-failed", "a request was rejected or failed; the error names the decision"},
	RequestRejected:        {zapcore.WarnLevel, "request-rejected", "no route or limit allows the request"},
	CallOffered:            {zapcore.InfoLevel, "call-offered", "a call was offered to the node of a host; the fields show the result"},
	CallNotStarted:         {zapcore.WarnLevel, "call-not-started", "the node of the target rejected a call before it started"},
	CallEnded:              {zapcore.WarnLevel, "call-ended", "a call that was started on the target failed"},
	PlatformDown:           {zapcore.WarnLevel, "platform-down", "the platform does not answer; the configuration in force stays"},
	PlatformUp:             {zapcore.InfoLevel, "platform-up", "the platform answers again"},
	SeedsUnreadable:        {zapcore.WarnLevel, "seeds-unreadable", "the object with first peers cannot be read; it is written anew"},
	SeedsNotWritten:        {zapcore.DebugLevel, "seeds-not-written", "the object with first peers was not written; the next refresh tries again"},
	HostNotRegistered:      {zapcore.WarnLevel, "host-not-registered", "the host's entry in the platform could not be written or removed; it is tried again"},
	PlatformRestored:       {zapcore.WarnLevel, "platform-restored", "the platform's store was restored from a copy and may have lost its latest changes"},
}

// Log writes events to a structured log. Its methods may be called concurrently.
type Log struct{ z *zap.Logger }

// New returns a log that writes to z.
func New(z *zap.Logger) *Log { return &Log{z: z} }

// Write writes an event with fields, at the level of its row.
func (l *Log) Write(e Event, fields ...zap.Field) {
	row := Events[e]
	l.z.Log(row.Level, row.Name, append(fields, zap.String("event", "MM"+strconv.Itoa(int(e))))...)
}
