#include "httpstatus.h"

namespace indigoway {

const char *reasonPhrase(int code)
{
    switch (code) {
    case 200:
        return "OK";
    case status::BadRequest:
        return "Bad Request";
    case 404:
        return "Not Found";
    case status::RequestTimeout:
        return "Request Timeout";
    case status::PayloadTooLarge:
        return "Payload Too Large";
    case status::ExpectationFailed:
        return "Expectation Failed";
    case status::HeadersTooLarge:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case status::ServiceUnavailable:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace indigoway
