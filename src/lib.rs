//! petreldrum: a multi-region inference gateway.
//!
//! A gateway process runs on each box, between callers and backend servers. The modules, from basic
//! types and configuration through decisions to I/O:
//!
//! | topic | module |
//! |---|---|
//! | names, sizes, times | [`id`], [`mod@unit`] |
//! | content of requests | [`content`] |
//! | whether a request may have run | [`verdict`] |
//! | settings of one box, its size, INI parsing | [`settings`], [`size`], [`ini`] |
//! | the operators' configuration, including permitted regions | [`config`] |
//! | the reducer, which turns events into effects | [`reducer`] |
//! | placement, limits and retries of requests | [`policy`], [`fleet`], [`server`], [`limit`], [`pushback`], [`detector`], [`queue`], [`allotment`], [`retry`], [`bucket`], [`quarantine`] |
//! | prompt caches of engines | [`memory`] |
//! | roll-outs of releases of backend servers | [`rollout`] |
//! | quality of service by customer | [`service`] |
//! | at-most-once execution | [`pin`], [`ledger`] |
//! | other boxes and regions | [`member`], [`wire`] |
//! | the users' platform: its names, formats and calls | [`platform`] |
//! | sockets, clocks and tasks around the reducer | [`gateway`] |
//! | log lines of one request | [`story`] |
//! | subcommands of the binary | [`cmd`] |

pub mod allotment;
pub mod bucket;
pub mod cap;
pub mod cmd;
pub mod config;
pub mod content;
pub mod crash;
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
