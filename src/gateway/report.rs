//! Logs events and effects of the reducer, and records them in the metrics.

use crate::{
    gateway::core::Core,
    id,
    reducer::{
        effect::{Effect, Entry, Move, Note, Reply, Send as SendOrder, Target},
        event::{Event, Timing},
    },
    size::Weight,
    unit::Millis,
    wire::Phase,
};

/// Interval between two updates of the allotment and roll-out metrics.
const ALLOTMENT_METRICS_INTERVAL: Millis = Millis(1000);
/// Interval between two log lines about the traffic between boxes.
const TRAFFIC_LOG_INTERVAL: Millis = Millis(10_000);

/// Formats the log line of an attempt: its target and the inputs of the routing decision.
struct SendLine<'a>(&'a SendOrder);

impl std::fmt::Display for SendLine<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let SendOrder {
            attempt,
            target,
            basis,
            route,
            ..
        } = self.0;
        let number = basis.number;
        write!(
            f,
            "sent attempt={} number={number} route={route} to=",
            attempt.0
        )?;
        match target {
            Target::Backend { name, address, .. } => write!(f, "{name}@{address}")?,
            Target::Relay { region, peer } => write!(f, "{region}@{peer}")?,
            Target::Pass { peer } => write!(f, "key@{peer}")?,
        }
        write!(
            f,
            " config={} places={} wait={} first={} hop={} burden={} free={} load_age={} waited={} \
             target={} prompt={} shared={} unread={} fetched={} told={} cold={} limit={} brittle={} \
             store={} store_age={} warmth={}",
            basis.version,
            basis.places,
            basis.wait,
            basis.first,
            basis.hop,
            basis.burden,
            basis.free,
            basis.age,
            basis.waited,
            basis.target,
            basis.prompt,
            basis.shared,
            basis.unread,
            basis.fetched,
            basis.told,
            basis.cold,
            basis
                .limit
                .map_or("none".to_owned(), |rate| rate.to_string()),
            basis
                .brittle
                .map_or("no".to_owned(), |rate| rate.to_string()),
            basis.revision,
            basis.store_age,
            basis.warmth
        )
    }
}

/// Origin of the boxes that a look-up names, for the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lookup {
    /// The caller's region, which is the region of this box.
    Own,
    /// The caller's region, as listed in a digest.
    Digest,
    /// Regions other than the caller's.
    Elsewhere,
    /// No box.
    Nowhere,
}

impl Lookup {
    fn of(boxes: &[Entry], detour: bool, own: &id::Region) -> Self {
        match boxes.first() {
            None => Self::Nowhere,
            Some(_) if detour => Self::Elsewhere,
            Some(entry) if entry.contact.region == *own => Self::Own,
            Some(_) => Self::Digest,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Digest => "digest",
            Self::Elsewhere => "elsewhere",
            Self::Nowhere => "nowhere",
        }
    }
}

impl Core {
    /// Updates the gauges and the fleet size, and periodically the allotment and roll-out metrics
    /// and the traffic log.
    pub(super) fn update_gauges(&mut self) {
        let now = self.parts.clock.now();
        let boxes = self.state.fleet_size(now);
        self.parts.boxes.send_if_modified(|current| {
            let changed = *current != boxes;
            *current = boxes;
            changed
        });
        let metrics = &self.parts.metrics;
        let ready = self.state.phase(now) == Phase::Ready;
        metrics.ready.set(i64::from(ready));
        metrics.in_flight.set(self.state.busy() as i64);
        metrics.waiting.set(self.state.waiting() as i64);
        let weight = self.state.weight().map_or(0, Weight::number);
        metrics.weight.set(i64::from(weight));
        metrics.full.set(i64::from(self.state.is_full()));
        metrics.limited.set(self.state.limited() as i64);
        metrics.brittle.set(self.state.brittle() as i64);
        metrics.pushed_back.set(self.state.pushed_back(now) as i64);
        metrics.set_engines(
            self.state.followed_engines(),
            self.state.engine_report_age(now),
        );
        metrics.departing.set(self.state.departing() as i64);
        metrics.idempotency_keys.set(self.state.keys() as i64);
        metrics.version.set(self.state.version().0 as i64);
        if now.since(self.allotments_updated_at) >= ALLOTMENT_METRICS_INTERVAL {
            self.allotments_updated_at = now;
            metrics.set_allotments(&self.state.allotments(now));
            metrics.set_rollouts(&self.state.rollouts(now));
        }
        if now.since(self.traffic_logged_at) >= TRAFFIC_LOG_INTERVAL {
            self.traffic_logged_at = now;
            log::info!("peers: bytes {}", metrics.traffic());
            log::info!("look-ups: {}", metrics.lookup_counts());
            if let Some(counts) = metrics.limited_clients() {
                log::info!("clients: {counts}");
            }
        }
        let revision = self.state.revision();
        metrics.store_lag.set(self.state.store_lag(now).0 as i64);
        metrics
            .store_silent
            .set(i64::from(self.state.is_store_silent(now)));
        metrics.store_era.set(revision.era.0 as i64);
        metrics.store_revision.set(revision.number as i64);
    }

    pub(super) fn record_event_metrics(&self, event: &Event) {
        let metrics = &self.parts.metrics;
        match event {
            Event::Ended {
                whole: true,
                timing,
                ..
            } => {
                metrics
                    .complete_response
                    .observe(timing.whole.duration().as_secs_f64());
                metrics
                    .longest_pause
                    .observe(timing.pause.duration().as_secs_f64());
            }
            Event::Moved { result, .. } => {
                let answers = &metrics.move_answers;
                answers.with_label_values(&[result.name()]).inc();
            }
            _ => {}
        }
    }

    pub(super) fn record_effect_metrics(&self, effect: &Effect) {
        let metrics = &self.parts.metrics;
        let send = match effect {
            Effect::Send(send) => send,
            Effect::Reply { reply, .. } if reply.limited => return metrics.limit_refusals.inc(),
            Effect::Reply { reply, .. } if reply.stopping => return metrics.stop_refusals.inc(),
            Effect::Broken { begun, .. } => {
                let label = if begun.is_some() { "begun" } else { "waiting" };
                return metrics.broken.with_label_values(&[label]).inc();
            }
            Effect::Noted(Note::Ended { unanswered, .. }) => {
                return metrics.stop_unanswered.inc_by(*unanswered as u64);
            }
            Effect::MoveEnded(carried) => return metrics.count_move(carried),
            Effect::Boxes { boxes, detour, .. } => {
                let source = Lookup::of(boxes, detour.is_some(), &self.parts.settings.region);
                return metrics.count_lookup(source);
            }
            Effect::Quarantine(step) => {
                return metrics.quarantine.with_label_values(&[step.name()]).inc();
            }
            _ => return,
        };
        if send.basis.prompt > 0 && matches!(send.target, Target::Backend { .. }) {
            let basis = if send.basis.told { "told" } else { "guessed" };
            metrics.prompt_estimates.with_label_values(&[basis]).inc();
        }
        if send.basis.number > 1 {
            return metrics.repeats.inc();
        }
        let waited = send.basis.waited.duration().as_secs_f64();
        metrics.waited.observe(waited);
    }

    /// Logs one line about a request, unless the line quota is used up.
    fn log_request(&mut self, request: id::Request, line: impl std::fmt::Display) {
        let now = self.parts.clock.now();
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        if !self.quota.take(now) {
            return self.parts.metrics.dropped_lines.inc();
        }
        let open = self.open_requests.get(&request);
        let tag = open.and_then(|o| o.tag.as_deref()).unwrap_or("-");
        log::info!("request: id={tag} box_id={request} {line}");
    }

    pub(super) fn log_event(&mut self, event: &Event) {
        match event {
            Event::Failed {
                request,
                attempt,
                verdict,
                cause,
            } => {
                self.log_request(
                    *request,
                    format_args!(
                        "failed attempt={} cause={cause:?} verdict={verdict}",
                        attempt.0
                    ),
                );
            }
            Event::Ended {
                request,
                attempt,
                whole,
                timing,
            } => {
                let Timing {
                    first,
                    whole: took,
                    pause,
                } = timing;
                self.log_request(
                    *request,
                    format_args!(
                        "ended attempt={} whole={whole} first={first} took={took} pause={pause}",
                        attempt.0
                    ),
                );
            }
            Event::StreamCut { request, attempt } => {
                self.log_request(*request, format_args!("cut attempt={}", attempt.0));
            }
            Event::Moved {
                request,
                attempt,
                from,
                result,
            } => {
                let number = attempt.0;
                self.log_request(
                    *request,
                    format_args!("move-answer attempt={number} from={from} result={result}"),
                );
            }
            Event::Closed { request, attempt } => {
                self.log_request(*request, format_args!("closed attempt={}", attempt.0));
            }
            Event::Disconnected(request) if self.state.holds(*request) => {
                self.log_request(*request, "abandoned by=caller");
            }
            _ => {}
        }
    }

    pub(super) fn log_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Send(send) => {
                self.log_request(send.request, SendLine(send));
            }
            Effect::Broken {
                request,
                backend,
                content,
                parts,
                age,
                begun,
            } => {
                let begun = begun.map_or("no".to_owned(), |span| span.to_string());
                let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
                let parts = parts.join(",");
                self.log_request(
                    *request,
                    format_args!(
                        "broken at={backend} content={content} age={age} begun={begun} \
                         parts={parts}"
                    ),
                );
            }
            Effect::Repeat(repeat) => self.log_request(repeat.request, repeat),
            Effect::Queued { request, waiting } => {
                self.log_request(*request, format_args!("queued waiting={waiting}"));
            }
            Effect::Boxes {
                request,
                boxes,
                detour: Some(detour),
            } => {
                let named: Vec<&str> = boxes.iter().map(|b| b.contact.name.as_str()).collect();
                let views: Vec<String> = detour.views.iter().map(ToString::to_string).collect();
                self.log_request(
                    *request,
                    format_args!(
                        "look-up region={} host={} none-ready returning={} used={} named={} up={} \
                         regions={}",
                        detour.region,
                        detour.host.as_deref().unwrap_or("-"),
                        detour.returning,
                        detour.used,
                        named.join(","),
                        detour.uptime,
                        views.join(" ")
                    ),
                );
            }
            Effect::Move(move_order) => {
                let Move {
                    attempt,
                    from,
                    to,
                    last,
                    left,
                    tokens,
                    ..
                } = move_order;
                self.log_request(
                    move_order.request,
                    format_args!(
                        "moves attempt={} from={}@{} to={}@{} last={last} left={left} tokens={tokens}",
                        attempt.0, from.name, from.address, to.name, to.address
                    ),
                );
            }
            Effect::MoveEnded(carried) => self.log_request(carried.request, carried),
            Effect::CompleteStream { request, attempt } => {
                let number = attempt.0;
                self.log_request(
                    *request,
                    format_args!("completed attempt={number} cause=run-ended"),
                );
            }
            Effect::DetachStream { request, attempt } => {
                self.log_request(
                    *request,
                    format_args!("left attempt={} cause=silent", attempt.0),
                );
            }
            Effect::Abort { request, attempt } => {
                self.log_request(*request, format_args!("aborted attempt={}", attempt.0));
            }
            Effect::Reply { request, reply } => {
                let Reply {
                    status,
                    verdict,
                    reason,
                    ..
                } = reply;
                self.log_request(
                    *request,
                    format_args!("answered status={status} verdict={verdict} reason={reason:?}"),
                );
            }
            _ => {}
        }
    }
}
