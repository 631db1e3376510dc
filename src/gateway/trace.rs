//! Distributed tracing: one span per hop, propagated between processes in the `traceparent` header.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{SpanKind, TraceContextExt, Tracer as _, TracerProvider as _},
};
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig as _};
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter},
};

use crate::id::BoxName;

const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// Runs an exporter on the tokio runtime, since the library calls it from its own thread.
#[derive(Debug)]
struct RuntimeExporter {
    inner: Arc<opentelemetry_otlp::SpanExporter>,
    runtime: tokio::runtime::Handle,
}

impl SpanExporter for RuntimeExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let inner = self.inner.clone();
        let task = self.runtime.spawn(async move { inner.export(batch).await });
        let join_error = |error: tokio::task::JoinError| {
            opentelemetry_sdk::error::OTelSdkError::InternalFailure(error.to_string())
        };
        task.await.map_err(join_error)?
    }
}

/// Creates the spans of one box, or none if no collector is configured.
#[derive(Clone, Debug)]
pub struct Tracer(Option<Spans>);

#[derive(Clone, Debug)]
struct Spans {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: Arc<TraceContextPropagator>,
}

impl Tracer {
    /// Creates a tracer that exports to `collector` (OTLP over HTTP). Without a collector, no spans
    /// are created.
    pub fn new(name: &BoxName, collector: Option<SocketAddr>) -> eyre::Result<Self> {
        let spans = collector.map(|address| Spans::new(name, address));
        spans.transpose().map(Self)
    }

    /// Starts the span of a received request, as a child of the span named in `headers`.
    pub fn receive(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let context = self.0.as_ref().map(|spans| spans.receive(name, headers));
        Span { context }
    }

    /// Starts the span of an attempt as a child of `parent`, and adds its context to `headers`.
    pub fn send(&self, name: &'static str, parent: &Span, headers: &mut HeaderMap) -> Span {
        let enabled = self.0.as_ref().zip(parent.context.as_ref());
        let context = enabled.map(|(spans, parent)| spans.send(name, parent, headers));
        Span { context }
    }

    /// Exports the remaining spans and shuts the exporter down.
    pub fn shutdown(&self) {
        let Some(spans) = &self.0 else {
            return;
        };
        if let Err(error) = spans.provider.shutdown() {
            log::debug!("trace: shutdown failed: {error}");
        }
    }
}

impl Spans {
    fn new(name: &BoxName, collector: SocketAddr) -> eyre::Result<Self> {
        let resource = Resource::builder()
            .with_service_name("petreldrum")
            .with_attribute(KeyValue::new("box", name.to_string()))
            .build();
        let client =
            opentelemetry_http::hyper::HyperClient::with_default_connector(EXPORT_TIMEOUT, None);
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_http_client(client)
            .with_endpoint(format!("http://{collector}/v1/traces"))
            .build()
            .wrap_err("cannot set up the trace exporter")?;
        let exporter = RuntimeExporter {
            inner: Arc::new(exporter),
            runtime: tokio::runtime::Handle::current(),
        };
        let provider = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_batch_exporter(exporter)
            .build();
        Ok(Self {
            tracer: provider.tracer("petreldrum"),
            provider,
            propagator: Arc::new(TraceContextPropagator::new()),
        })
    }

    fn receive(&self, name: &'static str, headers: &HeaderMap) -> Context {
        let parent = self
            .propagator
            .extract_with_context(&Context::new(), &HeaderExtractor(headers));
        self.start_span(name, SpanKind::Server, &parent)
    }

    fn send(&self, name: &'static str, parent: &Context, headers: &mut HeaderMap) -> Context {
        let context = self.start_span(name, SpanKind::Client, parent);
        self.propagator
            .inject_context(&context, &mut HeaderInjector(headers));
        context
    }

    fn start_span(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Context {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        parent.with_span(span)
    }
}

/// The span of one hop of a request; it ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Span {
    context: Option<Context>,
}

impl Span {
    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl ToString) {
        if let Some(context) = &self.context {
            let value = KeyValue::new(key, value.to_string());
            context.span().set_attribute(value);
        }
    }

    /// Returns the trace ID, or `None` if tracing is disabled.
    pub fn trace_id(&self) -> Option<String> {
        let context = self.context.as_ref()?;
        Some(context.span().span_context().trace_id().to_string())
    }
}
