#pragma once

#include "http/httpclient.h"
#include "http/messageparser.h"

#include <string>

struct bufferevent;
struct event_base;

namespace indigoway {

/** One connection of an HttpClient. */
class HttpClient::Connection
{
public:
    Connection(event_base *base, HttpClient &client, std::string address);
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /** Starts to connect; returns false if that is not possible. */
    bool open();
    /** Prepares for the answer to @p call. */
    void begin(HttpCallNumber call, bool isHeadRequest);
    void becomeIdle() { m_call = {}; }
    /** Ends all callbacks; the connection is closed when it is destroyed. */
    void close();
    /** Takes the regular end of the connection for the end of the answer, if it can be one. */
    bool completeByClose();

    bufferevent *bev() const { return m_bev; }
    const std::string &address() const { return m_address; }
    HttpCallNumber call() const { return m_call; } ///< None while it is idle.
    bool isConnected() const { return m_isConnected; }
    bool isInterim() const { return m_isInterim; }
    void setInterim(bool isInterim) { m_isInterim = isInterim; }

private:
    static void handleRead(bufferevent *bev, void *self);
    static void handleEvent(bufferevent *bev, short events, void *self);
    void read();
    /** Returns false if nothing more is read for the call. */
    bool handleMessageEnd();

    HttpClient &m_client;
    const std::string m_address;
    bufferevent *m_bev;
    MessageParser m_parser;
    HttpCallNumber m_call;
    bool m_isHeadRequest = false;
    bool m_isConnected = false;
    bool m_isInterim = false; ///< The message being read is an interim answer.
    bool m_isTooLong = false;
    bool m_isClosed = false;
};

} // namespace indigoway
