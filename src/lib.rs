//! petreldrum: a multi-region inference gateway.
//!
//! A gateway process stands on each box between callers and backend servers. This map goes from
//! what is told to a box, through what it decides, to how that is carried out.
//!
//! | noun | module |
//! |---|---|
//! | names, sizes, times | [`id`], [`mod@unit`] |
//! | whether a request may have run | [`verdict`] |
//! | one box's settings, INI reading | [`settings`], [`ini`] |
//! | the operators' configuration and who may go where | [`config`] |
//! | the reducer: events in, effects out | [`reducer`] |
//! | where a request goes | [`policy`], [`server`], [`queue`], [`limit`], [`retry`] |
//! | at most once | [`pin`], [`ledger`] |
//! | other boxes and regions | [`member`], [`wire`] |
//! | sockets, clocks and tasks around the reducer | [`gateway`] |
//! | subcommands of the binary | [`cmd`] |

pub mod cmd;
pub mod config;
pub mod gateway;
pub mod id;
pub mod ini;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod pin;
pub mod policy;
pub mod queue;
pub mod reducer;
pub mod retry;
pub mod server;
pub mod settings;
mod sign;
pub mod unit;
pub mod verdict;
pub mod wire;
