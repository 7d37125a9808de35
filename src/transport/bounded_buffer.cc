#include "src/transport/bounded_buffer.h"

#include <algorithm>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace bronzeroute {
namespace {

namespace streams = Concurrency::streams;
using buffer_pointer = std::shared_ptr<streams::details::basic_streambuf<std::uint8_t>>;

std::exception_ptr StreamError(const char* text) {
  return std::make_exception_ptr(std::runtime_error(text));
}

template <typename T>
pplx::task<T> Unsupported() {
  return pplx::task_from_exception<T>(
      std::logic_error("The stream moves blocks of bytes only."));
}

}  // namespace

streams::ostream bounded_buffer::Writer(std::shared_ptr<byte_pipe> pipe) {
  const buffer_pointer buffer =
      std::make_shared<bounded_buffer>(std::move(pipe), std::ios_base::out);
  return streams::ostream(streams::streambuf<std::uint8_t>(buffer));
}

streams::istream bounded_buffer::Reader(std::shared_ptr<byte_pipe> pipe) {
  return Stream(std::make_shared<bounded_buffer>(std::move(pipe), std::ios_base::in));
}

streams::istream bounded_buffer::Stream(const std::shared_ptr<bounded_buffer>& buffer) {
  const buffer_pointer base = buffer;
  return streams::istream(streams::streambuf<std::uint8_t>(base));
}

bounded_buffer::bounded_buffer(std::shared_ptr<byte_pipe> pipe, std::ios_base::openmode mode)
    : streambuf_state_manager(mode), pipe_(std::move(pipe)) {}

bounded_buffer::~bounded_buffer() = default;

bounded_buffer::pos_type bounded_buffer::getpos(std::ios_base::openmode /*direction*/) const {
  return static_cast<pos_type>(traits::eof());
}

// The HTTP client seeks to the start of a request body before it silently repeats the request.
// What was read is gone by then, and a chunked repeat would look complete with an empty body.
bounded_buffer::pos_type bounded_buffer::seekpos(pos_type /*pos*/,
                                                 std::ios_base::openmode /*direction*/) {
  if (bytes_read_ > 0) broken_ = true;
  return static_cast<pos_type>(traits::eof());
}

bounded_buffer::pos_type bounded_buffer::seekoff(off_type /*offset*/,
                                                 std::ios_base::seekdir /*way*/,
                                                 std::ios_base::openmode /*mode*/) {
  if (bytes_read_ > 0) broken_ = true;
  return static_cast<pos_type>(traits::eof());
}

bool bounded_buffer::acquire(std::uint8_t*& ptr, std::size_t& count) {
  ptr = nullptr;
  count = 0;
  return false;
}

void bounded_buffer::release(std::uint8_t* /*ptr*/, std::size_t /*count*/) {}

pplx::task<std::size_t> bounded_buffer::putn_nocopy(const std::uint8_t* ptr,
                                                    std::size_t count) {
  if (!can_write()) {
    return pplx::task_from_exception<std::size_t>(StreamError("The stream is closed."));
  }
  return count == 0 ? pplx::task_from_result(count) : _putn(ptr, count);
}

pplx::task<std::size_t> bounded_buffer::_putn(const std::uint8_t* ptr, std::size_t count) {
  if (write_from_ != nullptr) {
    return pplx::task_from_exception<std::size_t>(std::logic_error("A write is pending."));
  }
  write_from_ = reinterpret_cast<const char*>(ptr);
  write_left_ = count;
  write_count_ = count;
  write_done_ = {};
  const std::weak_ptr<streambuf_state_manager> weak = shared_from_this();
  pipe_->SetWriter([weak] {
    if (const auto self = weak.lock()) static_cast<bounded_buffer&>(*self).ContinueWrite();
  });
  pplx::task<std::size_t> result(write_done_);
  ContinueWrite();
  return result;
}

void bounded_buffer::ContinueWrite() {
  while (write_from_ != nullptr) {
    if (pipe_->closed()) {
      write_from_ = nullptr;
      write_done_.set_exception(StreamError("The reader of the body has left."));
      return;
    }
    const std::string_view rest(write_from_, std::min(write_left_, pipe_->Room()));
    if (rest.empty()) return;
    // The reader's callback may call back into this function, so the cursor moves first.
    write_from_ += rest.size();
    write_left_ -= rest.size();
    const bool all = write_left_ == 0;
    if (all) write_from_ = nullptr;
    pipe_->Append(rest);
    if (all) write_done_.set(write_count_);
  }
}

pplx::task<std::size_t> bounded_buffer::_getn(std::uint8_t* ptr, std::size_t count) {
  if (read_to_ != nullptr) {
    return pplx::task_from_exception<std::size_t>(std::logic_error("A read is pending."));
  }
  read_to_ = reinterpret_cast<char*>(ptr);
  read_max_ = count;
  read_done_ = {};
  const std::weak_ptr<streambuf_state_manager> weak = shared_from_this();
  pipe_->SetReader([weak] {
    if (const auto self = weak.lock()) static_cast<bounded_buffer&>(*self).ContinueRead();
  });
  pplx::task<std::size_t> result(read_done_);
  ContinueRead();
  return result;
}

void bounded_buffer::ContinueRead() {
  if (read_to_ == nullptr) return;
  if (broken_) {
    read_to_ = nullptr;
    read_done_.set_exception(StreamError("The body was already read."));
  } else if (pipe_->Available() > 0) {
    char* const to = read_to_;
    read_to_ = nullptr;
    const std::size_t count = pipe_->Take(to, read_max_);
    bytes_read_ += count;
    read_done_.set(count);
  } else if (pipe_->ended()) {
    read_to_ = nullptr;
    read_done_.set(0);
  } else if (pipe_->failed()) {
    read_to_ = nullptr;
    read_done_.set_exception(StreamError("The body ended early."));
  }
}

void bounded_buffer::AbortRead() {
  broken_ = true;
  ContinueRead();
}

pplx::task<void> bounded_buffer::_close_write() {
  m_stream_can_write = false;
  return pplx::task_from_result();
}

pplx::task<void> bounded_buffer::_close_read() {
  m_stream_can_read = false;
  pipe_->Close();
  return pplx::task_from_result();
}

pplx::task<bounded_buffer::int_type> bounded_buffer::_putc(std::uint8_t /*value*/) {
  return Unsupported<int_type>();
}
pplx::task<bounded_buffer::int_type> bounded_buffer::_bumpc() {
  return Unsupported<int_type>();
}
bounded_buffer::int_type bounded_buffer::_sbumpc() { return traits::requires_async(); }
pplx::task<bounded_buffer::int_type> bounded_buffer::_getc() { return Unsupported<int_type>(); }
bounded_buffer::int_type bounded_buffer::_sgetc() { return traits::requires_async(); }
pplx::task<bounded_buffer::int_type> bounded_buffer::_nextc() {
  return Unsupported<int_type>();
}
pplx::task<bounded_buffer::int_type> bounded_buffer::_ungetc() {
  return Unsupported<int_type>();
}
std::size_t bounded_buffer::_scopy(std::uint8_t* /*ptr*/, std::size_t /*count*/) { return 0; }
pplx::task<bool> bounded_buffer::_sync() { return pplx::task_from_result(true); }
std::uint8_t* bounded_buffer::_alloc(std::size_t /*count*/) { return nullptr; }
void bounded_buffer::_commit(std::size_t /*count*/) {}

}  // namespace bronzeroute
