//! Traces: a span for each hop, carried between processes by `traceparent`.

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

struct Reader<'a>(&'a HeaderMap);

impl Extractor for Reader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct Writer<'a>(&'a mut HeaderMap);

impl Injector for Writer<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&value)) {
            self.0.insert(name, value);
        }
    }
}

/// Runs an exporter on the runtime: the library calls it from a thread of its own.
#[derive(Debug)]
struct OnRuntime {
    inner: Arc<opentelemetry_otlp::SpanExporter>,
    runtime: tokio::runtime::Handle,
}

impl SpanExporter for OnRuntime {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let inner = self.inner.clone();
        let task = self.runtime.spawn(async move { inner.export(batch).await });
        let failed = |e: tokio::task::JoinError| {
            opentelemetry_sdk::error::OTelSdkError::InternalFailure(e.to_string())
        };
        task.await.map_err(failed)?
    }
}

/// Makes the spans of one box, or none where nobody collects them.
#[derive(Clone, Debug)]
pub struct Tracer(Option<Spans>);

#[derive(Clone, Debug)]
struct Spans {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: Arc<TraceContextPropagator>,
}

impl Tracer {
    /// Spans go to `collector` (OTLP over HTTP); without one none are made.
    pub fn new(name: &BoxName, collector: Option<SocketAddr>) -> eyre::Result<Self> {
        let spans = collector.map(|address| Spans::new(name, address));
        spans.transpose().map(Self)
    }

    /// Begins the span of a request that came with `headers`.
    pub fn receive(&self, name: &'static str, headers: &HeaderMap) -> Span {
        let context = self.0.as_ref().map(|spans| spans.receive(name, headers));
        Span { context }
    }

    /// Begins the span of an attempt below `parent` and names it in `headers`.
    pub fn send(&self, name: &'static str, parent: &Span, headers: &mut HeaderMap) -> Span {
        let pair = self.0.as_ref().zip(parent.context.as_ref());
        let context = pair.map(|(spans, parent)| spans.send(name, parent, headers));
        Span { context }
    }

    /// Sends what is left.
    pub fn shutdown(&self) {
        let Some(spans) = &self.0 else {
            return;
        };
        if let Err(error) = spans.provider.shutdown() {
            log::debug!("trace: shutdown: {error}");
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
        let exporter = OnRuntime {
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
            .extract_with_context(&Context::new(), &Reader(headers));
        self.begin(name, SpanKind::Server, &parent)
    }

    fn send(&self, name: &'static str, parent: &Context, headers: &mut HeaderMap) -> Context {
        let context = self.begin(name, SpanKind::Client, parent);
        self.propagator
            .inject_context(&context, &mut Writer(headers));
        context
    }

    fn begin(&self, name: &'static str, kind: SpanKind, parent: &Context) -> Context {
        let builder = self.tracer.span_builder(name).with_kind(kind);
        let span = self.tracer.build_with_context(builder, parent);
        parent.with_span(span)
    }
}

/// One hop of a request; it ends when the last holder drops it.
#[derive(Clone, Debug)]
pub struct Span {
    context: Option<Context>,
}

impl Span {
    /// Adds a fact to the span.
    pub fn note(&self, key: &'static str, value: impl ToString) {
        if let Some(context) = &self.context {
            let value = KeyValue::new(key, value.to_string());
            context.span().set_attribute(value);
        }
    }

    /// The trace's number, as a caller may quote it.
    pub fn trace_id(&self) -> Option<String> {
        let context = self.context.as_ref()?;
        Some(context.span().span_context().trace_id().to_string())
    }
}
