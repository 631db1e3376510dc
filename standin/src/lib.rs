//! Stand-ins for the external systems that petreldrum talks to, for tests, measurements and the
//! demo. They are not part of a release.
//!
//! Each stand-in is reached only over the network, through the protocol of the real system. Paths
//! that begin with `/_` exist for tests only: they inject faults and read counters.
//!
//! | module | stands in for |
//! |---|---|
//! | [`store`] | the key-value service (etcd v3 JSON over HTTP) |
//! | [`platform`] | the list of live and leaving boxes, and the client directory |
//! | [`registry`] | the users' platform's store |
//! | [`worker`] | a backend server of the users' platform that returns faulty answers on request |
//! | [`script`] | a backend server with scripted answers, ended by closing the connection |
//! | [`raw`] | a backend server with answers that HTTP libraries do not send |
//! | [`runs`] | the streams of such a server, and their migration to another server |
//! | [`engine`] | a model engine (OpenAI-style, SSE) |
//! | [`memory`] | the prompt-cache list and events of a model engine |
//! | [`app`] | an application service that counts its executions |
//! | [`collector`] | a trace collector that counts messages and spans |
//! | [`link`] | a network link between regions that can be delayed, cut or made to lose bytes |
//! | [`soak`] | the platform, callers and faults around boxes run as real processes |
//! | [`system`], [`demo`] | a whole system in one process |
//! | [`crowd`] | the reducers of several boxes, simulated in virtual time |
//! | [`releases`] | a roll-out simulation: servers of two releases, and the operator |
//! | [`measure`] | the measurements quoted in the documentation |

pub mod app;
pub mod collector;
pub mod crowd;
pub mod demo;
pub mod engine;
pub mod http;
pub mod link;
pub mod measure;
pub mod memory;
pub mod platform;
pub mod raw;
pub mod registry;
pub mod releases;
pub mod runs;
pub mod script;
pub mod soak;
pub mod store;
pub mod system;
pub mod worker;
