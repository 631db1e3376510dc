//! Stand-ins for the systems that petreldrum meets; they never ship with it.
//!
//! Each is met only over the network, by the protocol of the real system. Paths that begin with
//! `/_` are the test's own: they set faults and read counts.
//!
//! | module | stands in for |
//! |---|---|
//! | [`store`] | the key-value service (etcd v3 JSON over HTTP) |
//! | [`platform`] | the list of live and leaving boxes, and the client directory |
//! | [`registry`] | the users' platform's store |
//! | [`worker`] | a backend server of the users' platform that gets things wrong |
//! | [`script`] | a backend server whose answers end with their connection |
//! | [`runs`] | what such a server knows of its streams that may move to another |
//! | [`engine`] | a model engine (OpenAI-style, SSE) |
//! | [`memory`] | what a model engine tells of the prompts that it keeps |
//! | [`app`] | an application service that counts what it ran |
//! | [`collector`] | a trace collector that counts the spans it was sent |
//! | [`link`] | a link between regions: slow, or cut |
//! | [`soak`] | the platform, its callers and its troubles, around boxes as real processes |
//! | [`system`], [`demo`] | a whole system in one process |
//! | [`crowd`] | the other boxes: reducers of several, in virtual time |
//! | [`releases`] | backend servers of two releases before such boxes, and the operator who rolls one out |
//! | [`measure`] | the figures that the documentation gives |

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
pub mod registry;
pub mod releases;
pub mod runs;
pub mod script;
pub mod soak;
pub mod store;
pub mod system;
pub mod worker;
