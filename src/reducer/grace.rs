//! The end of a planned stop: requests that this box could not finish before it is killed are refused
//! while they have not run, so that their callers go to another box. Those that are not answered
//! shortly before the kill hear that, in place of a closed connection.

use crate::{
    id,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note, Reply},
        job::{self, Job, Stage},
    },
    unit::{Millis, Time},
    verdict::Verdict,
};

/// Time between the last answer and the end of the grace: for the answer's way to the caller, perhaps
/// through another region, and for the time that a busy box takes to notice the stop.
const ANSWER_MARGIN: Millis = Millis(500);
/// Time between the answers to requests that are still without one and the end of the grace: shorter,
/// as their work may yet be done, but enough for a busy box to write them.
const GIVE_UP_MARGIN: Millis = Millis(300);
/// Retry delay of callers that are refused: other boxes can take the request at once.
const ELSEWHERE_RETRY_AFTER: Millis = Millis(100);

/// The time that a planned stop has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grace {
    /// How long requests are taken as before.
    pub linger: Millis,
    /// When the process is killed.
    pub length: Millis,
}

/// The last part of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    /// When it begins.
    from: Time,
    /// When the last answers are due.
    answers_by: Time,
    /// When requests without an answer are given up.
    give_up_at: Time,
    /// What was done already.
    progress: Progress,
}

/// Progress of the last part of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    /// The requests that waited at its beginning were examined.
    Begun,
    /// The requests without an answer were given up.
    GivenUp,
}

impl Ending {
    pub(super) fn new(now: Time, grace: Grace) -> Self {
        let answers_by = (now + grace.length) - ANSWER_MARGIN;
        Self {
            from: (now + grace.linger).min(answers_by),
            answers_by,
            give_up_at: (now + grace.length) - GIVE_UP_MARGIN,
            progress: Progress::Pending,
        }
    }
}

impl<P: Policy> State<P> {
    /// Returns the refusal of a request for which no attempt may start, because this box may be
    /// killed before the answer is complete. An answer in progress may always continue elsewhere.
    pub(super) fn grace_refusal(&self, now: Time, job: &Job) -> Option<Reply> {
        let ending = self.control.ending.filter(|ending| now >= ending.from)?;
        let in_time = job.deadline_covers_answer && job.deadline <= ending.answers_by;
        if in_time || job.answering || job.moved {
            return None;
        }
        let reason = "this box stops before the answer would be complete";
        let wait = job::jittered(ELSEWHERE_RETRY_AFTER.0 as f64, job.ask.random);
        let reply = Reply::new(503, job.verdict(), reason).with_retry_after(wait);
        let stopping = true;
        Some(Reply { stopping, ..reply })
    }

    /// Refuses the waiting requests for which no attempt may start any more.
    pub(super) fn begin_ending(&mut self, now: Time, out: &mut Vec<Effect>) {
        let due = |ending: &&mut Ending| now >= ending.from && ending.progress == Progress::Pending;
        let Some(ending) = self.control.ending.as_mut().filter(due) else {
            return;
        };
        ending.progress = Progress::Begun;
        let left = ending.answers_by.since(now);
        let waiting = self
            .jobs
            .iter()
            .filter(|(_, job)| job.stage == Stage::Waiting);
        let refusal =
            |(request, job): (&id::Request, &Job)| Some((*request, self.grace_refusal(now, job)?));
        let mut refusals: Vec<(id::Request, Reply)> = waiting.filter_map(refusal).collect();
        refusals.sort_unstable_by_key(|(request, _)| *request);
        let refused = refusals.len();
        for (request, reply) in refusals {
            self.withdraw(request, out);
            self.finish(request, reply, out);
        }
        out.push(Effect::Noted(Note::Ending {
            refused,
            open: self.jobs.len(),
            left,
        }));
    }

    /// Answers the requests that are still without an answer shortly before the end of the grace. A
    /// client may send a request again by itself if its connection closes, even one that has run.
    pub(super) fn give_up_at_end(&mut self, now: Time, out: &mut Vec<Effect>) {
        let due =
            |ending: &&mut Ending| now >= ending.give_up_at && ending.progress == Progress::Begun;
        let Some(ending) = self.control.ending.as_mut().filter(due) else {
            return;
        };
        ending.progress = Progress::GivenUp;
        let unanswered = self.jobs.iter().filter(|(_, job)| !job.answering);
        let mut unanswered: Vec<id::Request> = unanswered.map(|(request, _)| *request).collect();
        unanswered.sort_unstable();
        for request in &unanswered {
            self.withdraw(*request, out);
            let reason = "this box stops and the answer has not begun";
            let reply = Reply::new(504, Verdict::MayHaveRun, reason);
            self.finish(*request, reply.with_retry_after(ELSEWHERE_RETRY_AFTER), out);
        }
        out.push(Effect::Noted(Note::Ended {
            unanswered: unanswered.len(),
            open: self.jobs.len(),
        }));
    }
}
