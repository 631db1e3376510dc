//! petreldrum: a multi-region inference gateway.
//!
//! A gateway process stands on each box between callers and backend servers. This map goes from
//! what is told to a box, through what it decides, to how that is carried out.
//!
//! | noun | module |
//! |---|---|
//! | names, sizes, times | [`id`], [`mod@unit`] |
//! | what a request asks for | [`content`] |
//! | whether a request may have run | [`verdict`] |
//! | one box's settings, its size, INI reading | [`settings`], [`size`], [`ini`] |
//! | the operators' configuration and who may go where | [`config`] |
//! | the reducer: events in, effects out | [`reducer`] |
//! | where a request goes | [`policy`], [`fleet`], [`server`], [`limit`], [`pushback`], [`detector`], [`queue`], [`allotment`], [`retry`], [`bucket`], [`quarantine`] |
//! | what engines keep of prompts | [`memory`] |
//! | another release of backend servers, watched | [`rollout`] |
//! | how customers are served | [`service`] |
//! | at most once | [`pin`], [`ledger`] |
//! | other boxes and regions | [`member`], [`wire`] |
//! | the users' platform: its names, formats and calls | [`platform`] |
//! | sockets, clocks and tasks around the reducer | [`gateway`] |
//! | a request's story out of logs | [`story`] |
//! | subcommands of the binary | [`cmd`] |

pub mod allotment;
pub mod bucket;
pub mod cmd;
pub mod config;
pub mod content;
pub mod detector;
pub mod fleet;
pub mod gateway;
pub mod id;
pub mod ini;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod memory;
pub mod pin;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod policy;
pub mod pushback;
pub mod quarantine;
pub mod queue;
pub mod reducer;
pub mod retry;
pub mod rollout;
pub mod server;
pub mod service;
pub mod settings;
mod sign;
pub mod size;
pub mod story;
pub mod unit;
pub mod verdict;
pub mod wire;
