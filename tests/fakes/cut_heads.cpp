#include "fakes/cut_heads.h"

#include <array>
#include <cstdio>
#include <thread>

namespace hornbeampick::testing
{

namespace
{

// Time in which the peer reads what was sent before a reset.
constexpr std::chrono::milliseconds resetDelay {3};

struct response_form {
    std::string name;
    std::string statusLine;
    std::string fieldLines;
};

std::vector<response_form> formsOf(response_forms forms)
{
    const std::string stamp = "Server-Stamp: mark\r\n";
    const std::string refusal = "Not-Executed: full\r\nHornbeampick-Outcome: not-run\r\nContent-Length: 0\r\n";
    std::vector<response_form> common {
        {"no length, close", "HTTP/1.1 200 OK", stamp + "Connection: close\r\n"},
        {"a length of nothing", "HTTP/1.1 200 OK", stamp + "Content-Length: 0\r\n"},
        {"chunks", "HTTP/1.1 200 OK", stamp + "Transfer-Encoding: chunked\r\n"},
        {"refusal when full", "HTTP/1.1 503 Busy", refusal},
    };
    if (forms == response_forms::common) {
        return common;
    }
    common.insert(common.end(),
                  {
                      {"no length", "HTTP/1.1 200 OK", stamp},
                      {"a length", "HTTP/1.1 200 OK", stamp + "Content-Length: 4\r\n"},
                      {"a length of nothing and close", "HTTP/1.1 200 OK", stamp + "Content-Length: 0\r\nConnection: close\r\n"},
                      {"HTTP/1.0", "HTTP/1.0 200 OK", stamp},
                      {"no content", "HTTP/1.1 204 No Content", stamp},
                      {"interim", "HTTP/1.1 100 Continue", ""},
                      {"refusal of another instance", "HTTP/1.1 421 Misdirected Request", refusal},
                  });
    return common;
}

} // namespace

std::vector<cut_message> cutsOf(const std::string &firstLine, const std::string &fieldLines)
{
    const std::string start = firstLine + "\r\n";
    const std::string fields = start + fieldLines;
    return {
        {"in the first line", firstLine.substr(0, firstLine.size() - 1)},
        {"before CR of the first line", firstLine},
        {"between CR and LF of the first line", firstLine + "\r"},
        {"after the first line", start},
        {"after the field lines", fields},
        {"in a field name", fields + "X-La"},
        {"after a colon", fields + "X-Last:"},
        {"in a field value", fields + "X-Last: val"},
        {"between CR and LF of a field", fields + "X-Last: value\r"},
        {"after a whole field line", fields + "X-Last: value\r\n"},
        {"between CR and LF of the empty line", fields + "X-Last: value\r\n\r"},
    };
}

std::vector<cut_message> cutResponseHeads(const std::string &id, response_forms forms)
{
    std::vector<cut_message> all;
    for (const auto &form : formsOf(forms)) {
        for (const auto &cut : cutsOf(form.statusLine, "Request-Id: " + id + "\r\n" + form.fieldLines)) {
            all.push_back({form.name + ", " + cut.name, cut.bytes});
        }
    }
    return all;
}

std::vector<cut_message> cutResponseBodies(const std::string &id, std::size_t bodyBytes)
{
    const std::string body(bodyBytes, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: mark\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string length = head + "Content-Length: " + std::to_string(bodyBytes + 1) + "\r\n\r\n";
    return {
        {"a length, before the body", length},
        {"a length, in the body", length + body},
        {"chunks, before the first", chunked},
        {"chunks, in the size", chunked + chunkOf(body) + "1"},
        {"chunks, before the last", chunked + chunkOf(body)},
        {"chunks, in the last", chunked + chunkOf(body) + "0"},
        {"chunks, after the last", chunked + chunkOf(body) + "0\r\n"},
        {"chunks, in a trailer name", chunked + chunkOf(body) + "0\r\nX-La"},
        {"chunks, in a trailer value", chunked + chunkOf(body) + "0\r\nX-Last: val"},
        {"chunks, after a whole trailer line", chunked + chunkOf(body) + "0\r\nX-Last: value\r\n"},
        {"chunks, between CR and LF of the empty line", chunked + chunkOf(body) + "0\r\nX-Last: value\r\n\r"},
    };
}

std::string chunkOf(const std::string &body)
{
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
}

std::string textOf(connection_end end)
{
    return end == connection_end::closed ? "closed" : "reset";
}

void writeAndEnd(scripted_upstream::socket &to, const std::string &bytes, connection_end end)
{
    scripted_upstream::write(to, bytes);
    boost::system::error_code ignored;
    if (end == connection_end::closed) {
        to.shutdown(scripted_upstream::socket::shutdown_send, ignored);
        return;
    }
    std::this_thread::sleep_for(resetDelay);
    to.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    to.close(ignored);
}

} // namespace hornbeampick::testing
