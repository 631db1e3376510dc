//! What backend servers say that they take from all boxes together.

use crate::{
    id::Backend,
    limit::Word,
    policy::Policy,
    reducer::{
        State,
        effect::{Effect, Note},
    },
};

impl<P: Policy> State<P> {
    /// Takes what an answer of a backend server says of its limit.
    pub(super) fn hear_limit(&mut self, name: &Backend, word: Word, out: &mut Vec<Effect>) {
        if !self.fleet.contains(name) {
            return;
        }
        let server = self.servers.entry(name.clone()).or_default();
        if !server.hear_limit(word) {
            return;
        }
        let note = match word {
            Word::Unreadable => Note::Unreadable(name.clone()),
            Word::Silent | Word::Most(_) => Note::Limited(name.clone(), word.rate()),
        };
        out.push(Effect::Noted(note));
    }

    /// Backend servers that name a limit, as far as this box knows.
    pub fn limited(&self) -> usize {
        let servers = self.servers.values();
        servers.filter(|server| server.limit().is_some()).count()
    }
}
